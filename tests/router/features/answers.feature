Feature: Every caller receives the complete answer to its request
  Scenario: Interleaved streams of several teams each arrive complete at their callers
    Given a fleet of 1 router and 2 engines with 2 slots each
    When 3 teams each stream 6 answers of 40 tokens at once
    Then every answer is complete, in order and contains only the tokens of its request
