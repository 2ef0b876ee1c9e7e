Feature: Every caller gets its own whole answer, and refusals are true

  Scenario Outline: A request that a worker did not run is sent to another one
    Given a deployment with 1 router(s)
    And one app worker meets shed
    When a caller sends <method> <target>
    Then the answer is 200
    And 1 app request(s) ran

    Examples:
      | method | target     |
      | POST   | /order/1   |
      | GET    | /ping/1?a= |

  Scenario Outline: A request that may not be repeated and may have run is not sent again
    Given a deployment with 1 router(s)
    And the next 2 requests at app workers meet <fault>
    When a caller sends POST /order/1
    Then the answer is 502
    And the answer is not a worker's
    And 1 app request(s) ran

    Examples:
      | fault           |
      | reset_after_run |
      | busy_but_ran    |
      | other_id        |
      | unsigned        |
      | truncated       |

  Scenario: A refusal promises that nothing ran
    Given a deployment with 1 router(s)
    And the next 4 requests at app workers meet shed
    When a caller sends GET /ping/1
    Then the answer is 503
    And the answer says when to come back
    And 0 app request(s) ran

  Scenario Outline: A request that may be repeated is sent to another worker
    Given a deployment with 1 router(s)
    And one app worker meets <fault>
    When a caller sends GET /ping/1
    Then the answer is 200

    Examples:
      | fault           |
      | error           |
      | reset_after_run |
      | truncated       |
      | other_id        |
      | hang            |

  Scenario: A worker's own failure is passed on as it is
    Given a deployment with 1 router(s)
    And the next 4 requests at app workers meet error
    When a caller sends GET /ping/1
    Then the answer is 500
    And the answer is the worker's

  Scenario: An answer without a length ends with its connection
    Given a deployment with 1 router(s)
    And one app worker meets no_length
    When a caller sends POST /order/1
    Then the answer is 200

  Scenario: A second answer on a connection goes to nobody
    Given a deployment with 1 router(s)
    And the next 3 requests at app workers meet extra_answer
    When one caller sends 12 orders one after the other
    Then each got the answer to its own order

  Scenario: The answer is due at the route's time-out
    Given a deployment with 1 router(s)
    And the next 2 requests at app workers meet hang
    When a caller sends POST /order/1
    Then the answer is 504
    And it came between 2.9 and 3.4 seconds after the request
    And the worker was left at once

  Scenario: A request whose repeat the budget forbids gets its final answer at once
    Given a deployment whose budget of repeats is used up
    And the next 2 requests at app workers meet reset_after_run
    When a caller sends GET /ping/1
    Then the answer is 502
    And it came between 0 and 0.5 seconds after the request
    And 1 app request(s) ran
