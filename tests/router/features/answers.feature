Feature: Every caller receives its own whole answer
  Scenario: Streamed answers of several teams interleave and each arrives whole to its caller
    Given a fleet of 1 router and 2 engines with 2 slots each
    When 3 teams each stream 6 answers of 40 tokens at once
    Then every answer is whole, in order and carries only its own request's tokens
