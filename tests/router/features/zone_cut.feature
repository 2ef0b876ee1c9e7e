Feature: Zones cut off from each other serve on, and agree again when the cut heals
  Scenario: One zone is cut off from the other zones and from the platform
    Given a cuttable fleet of 3 routers in 3 zones and 2 engines, one team calling each router
    When router-0's zone is cut off for 5 seconds and a new configuration is published meanwhile
    Then each side served its own callers during the cut
    And only the side that reaches the platform has the new configuration in force
    When the cut heals
    Then within 6 seconds the new configuration is in force on every router
    And within 10 seconds each router counts each team's service as the sum of all routers' own
    And every answer of the run is whole, in order and its own

  Scenario: A router restarts with no memory of the service it gave
    Given a cuttable fleet of 3 routers in 3 zones and 2 engines, one team calling each router
    When the callers stop and router-0 is killed and started again
    Then within 10 seconds router-0 counts each team's service as router-1 does
