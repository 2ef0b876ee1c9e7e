Feature: Requests are not lost when an idle connection is closed
  Scenario: A caller reuses its connection after a pause
    Given a fleet of 1 router and 1 engine
    When a caller sends two requests over one connection with a pause of 3 seconds between them
    Then both answers are complete

  Scenario: A target closes idle connections
    Given a target that closes every connection on its second request
    When two non-idempotent requests are sent to it one after the other
    Then both are answered
