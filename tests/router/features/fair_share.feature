Feature: Backlogged teams share a router in proportion to their weights
  Scenario: A team of weight 2 receives about twice the tokens of a team of weight 1
    Given a fleet of 1 router and 1 engine with 2 slots, teams "heavy" of weight 2 and "light" of weight 1
    When both teams keep 6 callers busy for 6 seconds
    Then heavy received between 1.6 and 2.5 times the tokens of light
