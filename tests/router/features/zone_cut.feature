Feature: Partitioned zones go on serving, and agree again when the partition heals
  Scenario: One zone is partitioned from the other zones and from the platform
    Given a fleet of 3 routers in 3 zones and 2 engines, one team calling each router
    When router-0's zone is partitioned for 5 seconds and a new configuration is published meanwhile
    Then each side served its callers during the partition
    And the new configuration is active only on the side that reaches the platform
    When the partition heals
    Then within 6 seconds the new configuration is active on every router
    And within 10 seconds each router's fleet-wide usage of each team is the sum of all local usage
    And every answer of the run is complete, in order and belongs to its request

  Scenario: A router restarts without the counters of its usage
    Given a fleet of 3 routers in 3 zones and 2 engines, one team calling each router
    When the callers stop and router-0 is killed and started again
    Then within 10 seconds router-0 and router-1 report the same fleet-wide usage of each team
