Feature: Racing operators: the last valid version wins everywhere, and nothing reverts
  Scenario: Two operators publish at once, one of them an invalid text
    Given a fleet of 3 routers and 1 engine
    When one operator publishes a valid text and another at once publishes an invalid one
    Then within 6 seconds every router has the valid text in force
    And no router ever logged a configuration in force below one it had before

  Scenario: Both texts land while the configuration service is down
    Given a fleet of 3 routers and 1 engine
    When the configuration service is down
    And one operator publishes a valid text and another at once publishes an invalid one
    And the configuration service comes back
    Then within 6 seconds every router has the valid text in force
    And no router ever logged a configuration in force below one it had before
