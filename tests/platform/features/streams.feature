Feature: Streams reach the caller whole, in order and without joins

  Scenario: Events are passed on
    Given a deployment with 1 router(s)
    When a caller asks for the stream /plan/1
    Then the answer is 200
    And the caller has the events 1 to 5

  Scenario Outline: A broken stream that may be resumed goes on at another engine
    Given a deployment with 1 router(s)
    And one llm worker meets <fault>
    When a caller asks for the stream /plan/1
    Then the answer is 200
    And the caller has the events 1 to 5

    Examples:
      | fault         |
      | broken_stream |
      | silent_stream |

  Scenario: A broken stream that may not be resumed does not look complete
    Given a deployment with 1 router(s)
    And one llm worker meets broken_stream
    When a caller asks for the stream /recon/1
    Then the answer ends early
    And the caller has the events 1 to 2
    And 1 llm request(s) ran

  Scenario: A caller that hangs up in the middle of a stream
    Given a deployment with 1 router(s)
    And streams that last 10 seconds
    When a caller hangs up after the first event of /plan/1
    Then the engine is told within half a second

  Scenario: A caller that hangs up before the first event
    Given a deployment with 1 router(s)
    And the next 2 requests at llm workers meet hang
    When a caller hangs up while it waits for /plan/1
    Then the engine is told within half a second

  Scenario: A stream is ended at the route's time-out
    Given a deployment with 1 router(s)
    And streams that last 10 seconds
    When a caller asks for the stream /plan/1
    Then the answer ends early
    And the stream lasted between 2.9 and 3.4 seconds
    And no engine counts as failing

  Scenario: A stream that failed at one engine and is cut at another does not look complete
    Given a deployment with 1 router(s)
    And streams that last 10 seconds
    And one llm worker meets error
    When a caller asks for the stream /plan/1
    Then the answer ends early
