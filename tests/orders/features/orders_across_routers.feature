Feature: A non-idempotent order runs at most once across the fleet
  Scenario: A caller retries an order through another router
    Given a fleet of 3 routers and 1 plain service that resets after running
    When a caller books "van-1" through router-0 and again through router-1
    Then the first order is answered outcome_unknown and the second duplicate
    And the plain service ran "van-1" exactly once

  Scenario: The router that sent the order is killed before the caller retries
    Given a fleet of 3 routers and 1 plain service that resets after running
    When a caller books "van-2" through router-0, which is killed, and again through router-1
    Then the first order is answered outcome_unknown and the second duplicate
    And the plain service ran "van-2" exactly once

  Scenario: Every router is restarted in turn between the order and its retry
    Given a fleet of 3 routers and 1 plain service that resets after running
    When a caller books "van-3" through router-0, all routers restart in turn, and again through router-1
    Then the first order is answered outcome_unknown and the second duplicate
    And the plain service ran "van-3" exactly once

  Scenario: An order that reached no target may be sent again
    Given a fleet of 3 routers and 1 plain service that refuses one order without running it
    When a caller books "van-4" through router-0 and again through router-1
    Then the first order is answered not_run and the second is served
    And the plain service ran "van-4" exactly once

  Scenario: One router is partitioned from the others while both sides reach the service
    Given a fleet of 3 routers that can be partitioned and 1 plain service that resets after running
    When a caller books "van-5" through router-0, which is then partitioned, and again through router-0 and router-1
    Then no second booking was run and the partitioned router answers not_run with Retry-After
    And the plain service ran "van-5" exactly once

  Scenario: A partitioned router still serves idempotent requests
    Given a fleet of 3 routers that can be partitioned and 1 plain service that resets after running
    When router-0 is partitioned from the other routers and the platform
    Then 5 streamed answers through router-0 are complete
    And a new order through router-0 is answered not_run with Retry-After
    And a new order through router-1 is accepted

  Scenario: A router is paused between claiming and sending an order
    Given a guard whose replicas store claims for 300 seconds
    When a router claims a key and is paused for 200 seconds
    Then it does not send the order and the refusal has a Retry-After

  Scenario: A claim replica restarts and syncs before a claim in transit has reached the others
    Given three claim replicas, one of which granted a claim that has not reached the others yet
    When that replica restarts and immediately syncs with the others
    Then it does not grant the key until it has synced again a second later
