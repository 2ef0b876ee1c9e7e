Feature: A refusal says "not run" only when the request really was not run
  Scenario: A retry finds no slot after a first try whose outcome is unknown
    Given a proxy whose first try breaks after sending and whose second finds the queue timed out
    When an idempotent call is served
    Then the caller is told the outcome is unknown and when to come back

  Scenario: A retry cannot connect after a first try whose outcome is unknown
    Given a proxy whose first try breaks after sending and whose second cannot connect
    When an idempotent call is served
    Then the caller is told the outcome is unknown and when to come back

  Scenario: No try reached a target
    Given a proxy that never connects
    When an idempotent call is served
    Then the caller is told the request was not run and when to come back

  Scenario: The only engine breaks one answer
    Given a fleet of 1 router and 1 engine that resets one answer
    When a caller asks for a whole answer
    Then it arrives whole within 3 seconds

  Scenario: The router has no configuration yet
    Given a router whose configuration service never answered
    When a caller asks it for an answer
    Then the request is refused as not run with Retry-After
