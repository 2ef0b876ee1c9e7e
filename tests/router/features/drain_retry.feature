Feature: A drain finishes every request it accepted, also between two tries
  Scenario: A request's first try cannot connect just as the drain begins
    Given a dispatcher that granted a request its first try
    When the drain begins and the try ends without reaching its target
    Then the retry is granted the other target
    And a new request is refused as draining
