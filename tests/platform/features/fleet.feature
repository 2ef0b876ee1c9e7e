Feature: Routers apply what is published, and a graceful stop interrupts no request

  Scenario: A new version becomes active at once and an older one is ignored
    Given a deployment with 1 router(s)
    When version 5 without the route open is published
    Then GET /open/1 returns 404 within 1 second
    When an older version with all routes is published as 3
    Then GET /open/1 keeps returning 404

  Scenario: An invalid configuration leaves the active one unchanged
    Given a deployment with 1 router(s)
    When an invalid configuration is published
    Then GET /open/1 keeps returning 200

  Scenario Outline: A router starts while the store is unavailable
    Given a deployment with 2 router(s)
    When the store fails with <trouble>
    And router 2 is killed and restarted
    Then router 2 becomes ready and serves requests

    Examples:
      | trouble  |
      | silent   |
      | busy     |
      | too_many |
      | reset    |

  Scenario: The store discards its history
    Given a deployment with 1 router(s)
    When the store fails with busy
    And version 9 without the route open is published
    And the store discards its history and recovers
    Then GET /open/1 returns 404 within 3 seconds

  Scenario: A leaving worker receives no more requests
    Given a deployment with 1 router(s)
    When one app worker is draining
    Then only the other app worker receives requests

  Scenario: A worker whose entry expired while the store was unavailable is kept
    Given a deployment with 1 router(s)
    When the store fails with busy
    And the entry of one app worker expires and the store recovers
    And the entry is written again a second later
    Then both app workers receive requests

  Scenario: A graceful stop interrupts no request
    Given a deployment with 1 router(s)
    And streams that last 2 seconds
    When the router receives SIGTERM during 5 streams
    Then the router reports within half a second that it is not ready
    And all 5 streams complete
    And the router exits with status 0

  Scenario: The settings file is reloaded without a restart
    Given a deployment with 1 router(s)
    When the router receives SIGHUP
    Then GET /open/1 keeps returning 200

  Scenario Outline: Restarted routers learn which prompts the engines have cached
    Given a deployment with 2 router(s)
    When only one engine is registered
    And 16 prompts with 8 shared prefixes are answered
    And the other engine is registered too
    And the test kills and restarts <which>
    And 16 prompts with 8 shared prefixes are answered
    Then no shared prefix was prefilled again

    Examples:
      | which       |
      | all routers |
      | one router  |
