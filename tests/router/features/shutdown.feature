Feature: A planned stop cuts no request in progress
  Scenario: SIGTERM while answers are streaming
    Given a fleet of 1 router and 1 engine with 4 slots
    When 4 answers of 100 tokens are streaming and the router gets SIGTERM
    Then all 4 answers arrive whole
    And a new request is refused as not run with Retry-After, or finds the router gone
    And the router exits with status 0
