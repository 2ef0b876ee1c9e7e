Feature: A draining router finishes every request that it accepted, including its retries
  Scenario: A request's first attempt cannot connect just as the drain begins
    Given a dispatcher that granted a slot to a request's first attempt
    When the drain begins and the attempt ends without reaching its target
    Then the retry is granted a slot on the other target
    And a new request is refused as draining
