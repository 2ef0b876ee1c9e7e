Feature: Randomised fault injection violates no guarantee
  Scenario: Kills, freezes, partitions, outages and broken answers overlap
    When a seeded schedule of faults is injected for 15 seconds under load
    Then routers were killed, frozen and partitioned
    And no guarantee was violated
    And most orders were booked and most streamed answers were complete

  Scenario: The checks find each kind of violation
    Given a history with one violation of each checked rule
    When the history is checked
    Then each violation is reported with its rule
