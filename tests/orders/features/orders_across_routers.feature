Feature: A non-idempotent order runs at most once across the fleet
  Scenario: A caller sends an order again through another router
    Given a fleet of 3 routers and 1 plain service that resets after running
    When a caller books "van-1" through router-0 and again through router-1
    Then the first is told the outcome is unknown and the second that it is a duplicate
    And the plain service ran "van-1" exactly once

  Scenario: The router that took the order is killed before the caller tries again
    Given a fleet of 3 routers and 1 plain service that resets after running
    When a caller books "van-2" through router-0, which is killed, and again through router-1
    Then the first is told the outcome is unknown and the second that it is a duplicate
    And the plain service ran "van-2" exactly once

  Scenario: Every router is restarted in turn between the two
    Given a fleet of 3 routers and 1 plain service that resets after running
    When a caller books "van-3" through router-0, all routers restart in turn, and again through router-1
    Then the first is told the outcome is unknown and the second that it is a duplicate
    And the plain service ran "van-3" exactly once

  Scenario: An order that reached no target may be sent again
    Given a fleet of 3 routers and 1 plain service that refuses one order without running it
    When a caller books "van-4" through router-0 and again through router-1
    Then the first is told it was not run and the second is served
    And the plain service ran "van-4" exactly once

  Scenario: One router is cut off from the others while both sides reach the service
    Given a cuttable fleet of 3 routers and 1 plain service that resets after running
    When a caller books "van-5" through router-0, which is then cut off, and again through router-0 and router-1
    Then no second booking was run and the cut-off router's refusal says not run with Retry-After
    And the plain service ran "van-5" exactly once

  Scenario: A cut-off router goes on serving everything that may be repeated
    Given a cuttable fleet of 3 routers and 1 plain service that resets after running
    When router-0 is cut off from the other routers and the platform
    Then 5 streamed answers through router-0 are whole
    And a new order through router-0 is refused as not run with Retry-After
    And a new order through router-1 is accepted

  Scenario: A router frozen between its claim and its send
    Given a guard whose homes remember for 300 seconds
    When a router claims a key and sleeps for 200 seconds
    Then it does not send the order and the caller is told it was not run

  Scenario: A home restarts and asks its fellows before a claim under way has reached them
    Given three homes, of which one granted a claim that has not yet reached the others
    When that home restarts and at once asks the others what they remember
    Then it does not vouch for the key until it has asked again a second later
