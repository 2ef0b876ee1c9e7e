Feature: No team can take the whole front, and a caller that leaves takes nothing with it
  Scenario: One team floods a router with more callers than the front has threads
    Given a fleet of 1 router with 16 front threads and 1 engine with 2 slots, teams "flood" and "small"
    When flood keeps 60 callers busy and small keeps 2 for 6 seconds
    Then each small caller got at least 3 times the tokens of each flood caller
    And flood still got at least a third of all tokens
    And every refusal came within 1 second and said not run with Retry-After

  Scenario: A caller hangs up in the middle of a long answer
    Given a fleet of 1 router with 16 front threads and 1 engine with 2 slots, teams "flood" and "small"
    When 2 callers ask for 2000 tokens and hang up after the first
    Then within 2 seconds the engine runs nothing
    And the next 10 answers are whole and each ran once
