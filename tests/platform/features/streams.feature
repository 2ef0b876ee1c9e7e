Feature: Streams reach the caller complete, in order and without visible resumption

  Scenario: Events are forwarded
    Given a deployment with 1 router(s)
    When a caller requests the stream /plan/1
    Then the answer is 200
    And the caller received the events 1 to 5

  Scenario Outline: A broken resumable stream continues on another engine
    Given a deployment with 1 router(s)
    And one llm worker has the fault <fault>
    When a caller requests the stream /plan/1
    Then the answer is 200
    And the caller received the events 1 to 5

    Examples:
      | fault         |
      | broken_stream |
      | silent_stream |

  Scenario: A stream without length or chunks is forwarded to its end
    Given a deployment with 1 router(s)
    And one llm worker has the fault unframed_stream
    When a caller requests the stream /recon/1
    Then the answer is 200
    And the caller received the events 1 to 5

  Scenario: A resumable stream without length or chunks that ends within an event is not passed off as complete
    Given a deployment with 1 router(s)
    And one llm worker has the fault unframed_cut_stream
    When a caller requests the stream /plan/1
    Then the answer is 200
    And the caller received the events 1 to 5

  Scenario: Another stream without length or chunks that ends within an event is not passed off as complete
    Given a deployment with 1 router(s)
    And one llm worker has the fault unframed_cut_stream
    When a caller requests the stream /recon/1
    Then the answer is truncated
    And the caller received the events 1 to 2
    And 1 llm request(s) ran

  Scenario: A resumable stream without length or chunks that a crash ends between two events continues on another engine
    Given a deployment with 1 router(s)
    And one llm worker has the fault crash_within_answer
    When a caller requests the stream /plan/1
    Then the answer is 200
    And the caller received the events 1 to 5

  Scenario Outline: A crash ends a stream without length or chunks, and the engine's address still accepts connections
    Given a deployment with engines behind a relay that stays
    And one llm worker has the fault crash_within_answer
    When a caller requests the stream <target>
    Then the answer is <outcome>
    And the caller received the events 1 to <last>
    And the log says closed_by=target target_check=unknown

    Examples:
      | target   | outcome   | last |
      | /plan/1  | 200       | 5    |
      | /recon/1 | truncated | 2    |

  Scenario: Another stream without length or chunks that a crash ends between two events is not passed off as complete
    Given a deployment with 1 router(s)
    And one llm worker has the fault crash_within_answer
    When a caller requests the stream /recon/1
    Then the answer is truncated
    And the caller received the events 1 to 2
    And 1 llm request(s) ran

  Scenario Outline: A stream without length or chunks that is cancelled for its caller is not passed off as complete
    Given a deployment with 1 router(s)
    And streams that last 10 seconds
    And streams without length or chunks
    When a caller of <target> closes its sending side after the first event
    Then the answer is truncated

    Examples:
      | target   |
      | /plan/1  |
      | /recon/1 |

  Scenario: A broken stream that is not resumable is visibly truncated
    Given a deployment with 1 router(s)
    And one llm worker has the fault broken_stream
    When a caller requests the stream /recon/1
    Then the answer is truncated
    And the caller received the events 1 to 2
    And 1 llm request(s) ran

  Scenario: A caller disconnects during a stream
    Given a deployment with 1 router(s)
    And streams that last 10 seconds
    When a caller disconnects after the first event of /plan/1
    Then the request to the engine is cancelled within half a second

  Scenario: A caller disconnects before the first event
    Given a deployment with 1 router(s)
    And the next 2 requests to llm workers trigger hang
    When a caller disconnects while it waits for /plan/1
    Then the request to the engine is cancelled within half a second

  Scenario: A stream is truncated at the route's timeout
    Given a deployment with 1 router(s)
    And streams that last 10 seconds
    When a caller requests the stream /plan/1
    Then the answer is truncated
    And the stream lasted between 2.9 and 3.4 seconds
    And no engine failure is recorded

  Scenario: A stream that is retried and reaches the route's timeout is visibly truncated
    Given a deployment with 1 router(s)
    And streams that last 10 seconds
    And one llm worker has the fault error
    When a caller requests the stream /plan/1
    Then the answer is truncated
