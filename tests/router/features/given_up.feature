Feature: A request that can't be served gets its final answer in time
  Scenario: More requests than a slow engine can serve before the queue timeout
    Given a fleet of 1 router and 1 engine with 1 slot, a queue timeout of 1 second and at most 3 waiting requests per team
    When 12 callers of one team each request an answer of 60 tokens at once
    Then the history is consistent, with refusals within 1.5 seconds and no wait beyond the queue timeout
    And some answers are complete and some requests are refused as not run
