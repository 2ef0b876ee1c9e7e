Feature: Routers share targets in proportion to their backlogged weight
  Scenario: A router gets the full weight of a team that waits only there
    Given team "depot" of weight 2 waits only on this router
    And teams "riders" and "kiosks" of weight 1 wait equally on this router and one peer
    When this router computes its share
    Then its share is 0.75

  Scenario: The backlog of a peer without recent reports stops counting
    Given a peer reported backlog 10 seconds ago and none of the same teams wait on this router
    When this router computes its share with a 3 second peer timeout
    Then its share is 1.0
