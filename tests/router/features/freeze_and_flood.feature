Feature: Routers cooperate despite a frozen peer, and no team is starved
  Scenario: A peer freezes and wakes late, acting on what it knew before
    Given a fleet of 2 routers and 2 engines with 2 slots each, teams "depot" and "riders"
    When depot calls only router-0 and riders only router-1, and router-1 is frozen
    Then within 6 seconds router-0 claims every slot while router-1 is frozen
    When router-1 is resumed and the callers stop
    Then every answer of both teams is complete, in order and belongs to its request
    And each router's fleet-wide usage of each team is the sum of both routers' local usage

  Scenario: One team floods a router
    Given a fleet of 1 router and 1 engine with 2 slots, teams "flood" and "small" of weight 1
    When flood keeps 20 callers busy and small keeps 2 for 6 seconds
    Then each small caller got at least 3 times the tokens of each flood caller
    And flood still got at least a third of all tokens
