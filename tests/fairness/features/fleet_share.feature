Feature: Routers split shared targets by the backlogged weight they hold
  Scenario: A team that lands on one router gets that router the share of its weight
    Given team "depot" of weight 2 waits only on this router
    And teams "riders" and "kiosks" of weight 1 wait equally on this router and one peer
    When this router works out its share
    Then its share is 0.75

  Scenario: A silent peer's backlog stops counting
    Given a peer reported backlog 10 seconds ago and this router holds none of the same teams
    When this router works out its share with a 3 second peer timeout
    Then its share is 1.0
