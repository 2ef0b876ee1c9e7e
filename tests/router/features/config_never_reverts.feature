Feature: An accepted configuration never reverts
  Scenario: A router restarts with no memory while the configuration service answers an old revision
    Given a fleet of 2 routers and 1 engine
    And revision 2 of the configuration is in force on every router
    When the configuration service falls back to revision 1
    And router-1 is killed and started again
    Then every answer router-1 gives for 3 seconds carries configuration version 2 or newer

  Scenario: The configuration service answers an old revision for a long time
    Given a fleet of 2 routers and 1 engine
    And revision 2 of the configuration is in force on every router
    When the configuration service falls back to revision 1
    Then the routers read it no more than 10 times a second together
    And revision 3, published when the service has caught up, is in force within 6 seconds

  Scenario: A router restarts after another was taken away for good
    Given a fleet of 2 routers and 1 engine
    And revision 2 of the configuration is in force on every router
    When router-0 is killed, the instance list calls it gone, and router-1 is restarted
    Then router-1 is ready without having waited for router-0
