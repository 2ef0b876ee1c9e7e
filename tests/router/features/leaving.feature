Feature: A target that is leaving gets no new work after a few seconds
  Scenario: The instance list marks an engine as leaving
    Given a fleet of 1 router and 2 engines with 2 slots each
    When the instance list marks engine-0 as leaving and 3 seconds pass
    And 12 answers are requested
    Then engine-0 received none of them
    And every answer is whole, in order and carries only its own request's tokens
