Feature: A planned shutdown interrupts no request in progress
  Scenario: SIGTERM while answers are streaming
    Given a fleet of 1 router and 1 engine with 4 slots
    When 4 answers of 100 tokens are streaming and the router gets SIGTERM
    Then all 4 answers are complete
    And a new request is refused as not_run with Retry-After or can no longer connect
    And the router exits with status 0
