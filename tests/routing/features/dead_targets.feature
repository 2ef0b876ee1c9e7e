Feature: Requests avoid targets that cannot be reached
  Scenario: Two of three engines crash before the instance list reports it
    Given a fleet of 1 router and 3 engines
    When engine-0 and engine-1 are killed and 24 requests with different prompts are sent
    Then every answer is complete
    And the crashed engines received no more than 6 requests together

  Scenario: A crashed engine comes back
    Given a fleet of 1 router and 3 engines
    When engine-0 is killed, found unreachable, and restarted
    Then within 10 seconds engine-0 receives requests again
