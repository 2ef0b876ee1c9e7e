Feature: The newest valid configuration becomes active on all routers, and no router reverts
  Scenario: Two operators publish at once, one of them an invalid configuration
    Given a fleet of 3 routers and 1 engine
    When one operator publishes a valid configuration and another immediately an invalid one
    Then within 6 seconds the valid configuration is active on every router
    And no router has logged an active version older than an earlier one

  Scenario: Both configurations are published while the configuration service is down
    Given a fleet of 3 routers and 1 engine
    When the configuration service is down
    And one operator publishes a valid configuration and another immediately an invalid one
    And the configuration service comes back
    Then within 6 seconds the valid configuration is active on every router
    And no router has logged an active version older than an earlier one
