Feature: A non-idempotent order runs at most once
  Scenario: The plain service resets the connection after running the order
    Given a fleet of 1 router, 1 engine and 1 plain service that resets after running
    When a caller books an order with idempotency key "van-to-chop-bar"
    Then the caller receives an unknown outcome
    And the plain service ran "van-to-chop-bar" exactly once
