Feature: Each caller receives the complete answer to its own request, and refusals are truthful

  Scenario Outline: A request that a worker did not run is sent to another worker
    Given a deployment with 1 router(s)
    And one app worker has the fault shed
    When a caller sends <method> <target>
    Then the answer is 200
    And 1 app request(s) ran

    Examples:
      | method | target     |
      | POST   | /order/1   |
      | GET    | /ping/1?a= |

  Scenario Outline: A request that must not be repeated and may have run is not retried
    Given a deployment with 1 router(s)
    And the next 2 requests to app workers trigger <fault>
    When a caller sends POST /order/1
    Then the answer is 502
    And the answer comes from the router
    And 1 app request(s) ran

    Examples:
      | fault               |
      | reset_after_run     |
      | busy_but_ran        |
      | other_id            |
      | unsigned            |
      | truncated           |
      | crash_within_answer |

  Scenario: A request that all workers refused has not run
    Given a deployment with 1 router(s)
    And the next 4 requests to app workers trigger shed
    When a caller sends GET /ping/1
    Then the answer is 503
    And the answer has a Retry-After header
    And 0 app request(s) ran

  Scenario Outline: An idempotent request is retried on another worker
    Given a deployment with 1 router(s)
    And one app worker has the fault <fault>
    When a caller sends GET /ping/1
    Then the answer is 200

    Examples:
      | fault           |
      | error           |
      | reset_after_run |
      | truncated       |
      | other_id        |
      | hang            |

  Scenario: An answer without length or chunks that a crash ends is not passed off as complete
    Given a deployment with 1 router(s)
    And one app worker has the fault crash_within_answer
    When a caller sends GET /ping/1
    Then the answer is 200
    And the caller received the whole answer to GET /ping/1
    And 2 app request(s) ran

  Scenario: An error response of a worker is forwarded unchanged
    Given a deployment with 1 router(s)
    And the next 4 requests to app workers trigger error
    When a caller sends GET /ping/1
    Then the answer is 500
    And the answer comes from the worker

  Scenario: An answer without a length ends when the connection is closed
    Given a deployment with 1 router(s)
    And one app worker has the fault no_length
    When a caller sends POST /order/1
    Then the answer is 200

  Scenario: An extra answer on a connection is discarded
    Given a deployment with 1 router(s)
    And the next 3 requests to app workers trigger extra_answer
    When one caller sends 12 orders one after the other
    Then each order received its own answer

  Scenario: An unanswered request fails at the route's timeout
    Given a deployment with 1 router(s)
    And the next 2 requests to app workers trigger hang
    When a caller sends POST /order/1
    Then the answer is 504
    And the answer took between 2.9 and 3.4 seconds
    And the request to the worker is cancelled within a second

  Scenario: A request that the retry budget does not allow to retry fails at once
    Given a deployment whose retry budget is exhausted
    And the next 2 requests to app workers trigger reset_after_run
    When a caller sends GET /ping/1
    Then the answer is 502
    And the answer took between 0 and 0.5 seconds
    And 1 app request(s) ran
