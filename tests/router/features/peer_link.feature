Feature: A peer link that does not work is noticed
  Scenario: The heartbeat address of a router is already in use
    Given the settings of a router whose heartbeat address is in use
    When the router is started
    Then it terminates within 10 seconds and its log names the address

  Scenario: A peer is never heard
    Given a fleet of 2 routers and 1 engine
    When router-0 is paused and router-1 is killed and started again
    Then router-1 reports the silence of router-0 in its log and metrics within 5 seconds

  Scenario: A peer falls silent
    Given a fleet of 2 routers and 1 engine
    When router-0 is paused
    Then router-1 reports the silence of router-0 in its log and metrics within 5 seconds
