Feature: A request given up on gets its final answer at once
  Scenario: More work than a slow engine can take before the queue timeout
    Given a fleet of 1 router and 1 engine with 1 slot, a queue timeout of 1 second and 3 waiting per team
    When 12 callers of one team each ask for an answer of 60 tokens at once
    Then the history keeps every promise, with refusals within 1.5 seconds and no wait past the timeout
    And some answers are whole and some are refused as not run
