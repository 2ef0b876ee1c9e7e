Feature: No team can occupy the whole front, and a caller that disconnects leaves no work behind
  Scenario: One team floods a router with more callers than the front has threads
    Given a fleet of 1 router with 16 front threads and 1 engine with 2 slots, teams "flood" and "small"
    When flood keeps 60 callers busy and small keeps 2 for 6 seconds
    Then each small caller got at least 3 times the tokens of each flood caller
    And flood still got at least a third of all tokens
    And every refusal was "not_run" with Retry-After and arrived within 1 second

  Scenario: A caller disconnects in the middle of a long answer
    Given a fleet of 1 router with 16 front threads and 1 engine with 2 slots, teams "flood" and "small"
    When 2 callers request 2000 tokens and disconnect after the first
    Then within 2 seconds the engine is idle
    And the next 10 answers are complete and each request ran once
