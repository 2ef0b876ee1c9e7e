Feature: An accepted configuration never reverts
  Scenario: A router restarts without state while the configuration service returns an old revision
    Given a fleet of 2 routers and 1 engine
    And revision 2 of the configuration is active on every router
    When the configuration service falls back to revision 1
    And router-1 is killed and started again
    Then every answer of router-1 for 3 seconds carries configuration version 2 or newer

  Scenario: The configuration service returns an old revision for a long time
    Given a fleet of 2 routers and 1 engine
    And revision 2 of the configuration is active on every router
    When the configuration service falls back to revision 1
    Then all routers together read it no more than 10 times per second
    And revision 3, published after the service has recovered, is active within 6 seconds

  Scenario: A router restarts after another was removed permanently
    Given a fleet of 2 routers and 1 engine
    And revision 2 of the configuration is active on every router
    When router-0 is killed, the instance list marks it as gone, and router-1 is restarted
    Then router-1 becomes ready without waiting for router-0
