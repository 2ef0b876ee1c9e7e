Feature: What is published is in force on every router, and planned stops cut nothing

  Scenario: A new version is in force at once and an older one never comes back
    Given a deployment with 1 router(s)
    When version 5 without the route open is published
    Then GET /open/1 is answered 404 within 1 second
    When an older version with all routes is published as 3
    Then GET /open/1 stays 404

  Scenario: A text that can't be read leaves the one in force
    Given a deployment with 1 router(s)
    When a broken text is published
    Then GET /open/1 stays 200

  Scenario Outline: A router starts while the store is away
    Given a deployment with 2 router(s)
    When the store is <trouble>
    And router 2 is killed and started again
    Then router 2 takes callers and serves them

    Examples:
      | trouble  |
      | silent   |
      | busy     |
      | too_many |
      | reset    |

  Scenario: The store forgets its history
    Given a deployment with 1 router(s)
    When the store is busy
    And version 9 without the route open is published
    And the store forgets its history and is none
    Then GET /open/1 is answered 404 within 3 seconds

  Scenario: A worker that is leaving gets no more requests
    Given a deployment with 1 router(s)
    When one app worker is draining
    Then only the other one gets requests

  Scenario: A worker whose entry lapsed while the store was away
    Given a deployment with 1 router(s)
    When the store is busy
    And one app worker's entry lapses and the store comes back
    And the entry is back a second later
    Then both app workers get requests

  Scenario: A planned stop cuts no request
    Given a deployment with 1 router(s)
    And streams that last 2 seconds
    When the router is told to stop during 5 streams
    Then it says at once that it is not ready
    And all 5 streams end whole
    And the router exits with 0

  Scenario: A changed settings file is read without a restart
    Given a deployment with 1 router(s)
    When the router gets a hang-up signal
    Then GET /open/1 stays 200

  Scenario Outline: Routers that start without memory find what the engines keep
    Given a deployment with 2 router(s)
    When only one engine is listed
    And 16 prompts on 8 subjects have been answered
    And the other engine is listed too
    And <which> are killed and started again
    And 16 prompts on 8 subjects have been answered
    Then no subject was read again

    Examples:
      | which       |
      | all routers |
      | some        |
