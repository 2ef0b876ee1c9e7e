Feature: Work keeps off targets that cannot be reached
  Scenario: Two of three engines crash before the instance list says so
    Given a fleet of 1 router and 3 engines
    When engine-0 and engine-1 are killed and 24 answers with different prompts are requested
    Then every answer is whole
    And the dead engines were tried no more than 6 times together

  Scenario: A crashed engine comes back
    Given a fleet of 1 router and 3 engines
    When engine-0 is killed, found dead, and started again
    Then within 10 seconds engine-0 gets work again
