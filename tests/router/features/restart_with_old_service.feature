Feature: A restarted router does not serve by an old revision of the configuration service
  Scenario: Callers send without a pause from the first moment
    Given a fleet of 2 routers and 1 engine, both by revision 2
    And the configuration service falls back to revision 1
    When router-1 is killed and started again 3 times while 8 callers send to it
    Then no answer of router-1 carries configuration version 1

  Scenario: The peer is paused
    Given a fleet of 2 routers and 1 engine, both by revision 2
    And the configuration service falls back to revision 1
    When router-0 is paused for 6 seconds while router-1 is killed and started again
    Then no answer of router-1 carries configuration version 1
    And router-1 serves version 2 within 2 seconds of the end of the pause

  Scenario: The peer is paused for longer than a router waits
    Given a fleet of 2 routers and 1 engine, both by revision 2, which wait 5 seconds for a peer
    And the configuration service falls back to revision 1
    When router-0 is paused for 8 seconds while router-1 is killed and started again
    Then router-1 serves version 1 only until 1 second after the end of the pause
    And router-1 serves version 2 within 2 seconds of the end of the pause

  Scenario: The peer is down
    Given a fleet of 2 routers and 1 engine, both by revision 2
    And the configuration service falls back to revision 1
    When router-0 is killed, and router-1 is killed and started again
    Then router-1 serves within 6 seconds of its start
