Feature: A refusal says "not run" only if no attempt can have run
  Scenario: A retry finds no slot after a first attempt whose outcome is unknown
    Given a proxy whose first attempt fails after sending and whose second times out in the queue
    When an idempotent request is served
    Then the caller receives "outcome unknown" with Retry-After

  Scenario: A retry cannot connect after a first attempt whose outcome is unknown
    Given a proxy whose first attempt fails after sending and whose second cannot connect
    When an idempotent request is served
    Then the caller receives "outcome unknown" with Retry-After

  Scenario: No attempt reached a target
    Given a proxy that never connects
    When an idempotent request is served
    Then the caller receives "not run" with Retry-After

  Scenario: The only engine resets the connection of one answer
    Given a fleet of 1 router and 1 engine that resets one answer
    When a caller requests an answer that is not streamed
    Then the complete answer arrives within 3 seconds

  Scenario: The router has no configuration yet
    Given a router whose configuration service never answered
    When a caller sends it a request
    Then the request is refused as not run with Retry-After
