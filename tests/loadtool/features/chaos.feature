Feature: Randomised runs break no promise
  Scenario: Kills, freezes, cuts, outages and broken answers overlap
    When a seeded schedule of faults is played for 15 seconds under load
    Then routers were killed, frozen and cut off
    And no promise was broken
    And most orders were booked and most streams were whole

  Scenario: The checker finds what it is for
    Given a history in which each promise is broken once
    When the history is checked
    Then each broken promise is named
