Feature: A team gets no more than its share for having been away, and owes no more than a bound
  Scenario: A team idle for an hour comes back beside a backlogged one
    Given a team "depot" of weight 1 that was served 100000 tokens and still waits
    When an idle team "riders" of weight 1 comes back with 40 requests
    And 40 requests of 10 tokens are granted
    Then riders got between 18 and 22 of them

  Scenario: A team that waits on a peer all along is not treated as returning
    Given a team "depot" of weight 1 that was served 1000 tokens and still waits
    And a peer reports that "riders" waits there
    When an idle team "riders" of weight 1 comes back with 40 requests
    And 40 requests of 10 tokens are granted
    Then riders got all of them

  Scenario: A cut heals and a peer reports an hour of service to one team
    Given teams "depot" and "riders" of weight 1 that wait here, and a catch-up limit of 200 tokens
    When a peer reports 100000 tokens of service to depot
    And 60 requests of 10 tokens are granted
    Then riders got between 38 and 42 of them

  Scenario: A router restarts and hears of its own earlier service
    Given a router that served 500 tokens to "depot" and was restarted
    When a peer echoes what it knew of the router's earlier life
    Then the router counts 500 tokens for depot once, also when told again

  Scenario: A node is replaced many times
    Given a peer that was restarted 20 times, serving 10 tokens to "depot" each time
    Then the ledger counts 200 tokens for depot in its order of service
    And it keeps at most 3 lives of the peer
    And a late beat of the first life changes nothing
