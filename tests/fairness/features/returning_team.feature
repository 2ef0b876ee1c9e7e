Feature: A returning team gets no more than its share, and the debt of a team is limited
  Scenario: A team returns after an idle hour while another is backlogged
    Given a team "depot" of weight 1 that was served 100000 tokens and still waits
    When an idle team "riders" of weight 1 returns with 40 requests
    And 40 requests of 10 tokens are granted
    Then riders got between 18 and 22 of them

  Scenario: A team that has been waiting on a peer is not treated as returning
    Given a team "depot" of weight 1 that was served 1000 tokens and still waits
    And a peer reports that "riders" waits there
    When an idle team "riders" of weight 1 returns with 40 requests
    And 40 requests of 10 tokens are granted
    Then riders got all of them

  Scenario: A partition heals and a peer reports an hour of usage of one team
    Given teams "depot" and "riders" of weight 1 that wait here, and a catch-up limit of 200 tokens
    When a peer reports 100000 tokens of usage of depot
    And 60 requests of 10 tokens are granted
    Then riders got between 38 and 42 of them

  Scenario: A router restarts and receives a report of its earlier usage
    Given a router that served 500 tokens to "depot" and was restarted
    When a peer reports the counters of the router's earlier incarnation
    Then the router counts 500 tokens for depot once, also if reported again

  Scenario: A node is replaced many times
    Given a peer that was restarted 20 times, serving 10 tokens to "depot" each time
    Then the ledger counts 200 tokens for depot in its normalised usage
    And it keeps at most 3 incarnations of the peer
    And a late heartbeat of the first incarnation changes nothing
