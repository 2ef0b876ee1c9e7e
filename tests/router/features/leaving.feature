Feature: A leaving target receives no new work after a few seconds
  Scenario: The instance list marks an engine as leaving
    Given a fleet of 1 router and 2 engines with 2 slots each
    When the instance list marks engine-0 as leaving and 3 seconds pass
    And 12 answers are requested
    Then engine-0 receives none of them
    And every answer is complete, in order and contains only the tokens of its request
