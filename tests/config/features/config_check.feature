Feature: Configurations are validated before they become active
  The error names the field and the reason, and the active configuration does not change.

  Scenario: A value of a wrong type is rejected with its location
    Given a configuration whose first target's slots is "four"
    When the configuration is validated
    Then it is rejected with an error naming "$.services[0].targets[0].slots"

  Scenario: A dependency on an unknown service is rejected
    Given a configuration whose service depends on "billing"
    When the configuration is validated
    Then it is rejected with an error naming "$.services[0].depends_on"

  Scenario: A cycle of dependencies is rejected
    Given a configuration whose services "llm" and "orders" depend on each other
    When the configuration is validated
    Then it is rejected with an error naming "llm -> orders -> llm"

  Scenario: Models of a plain service are rejected
    Given a configuration whose plain service has a target with models
    When the configuration is validated
    Then it is rejected with an error naming "$.services[1].targets[*].models"

  Scenario: An older version never replaces a newer one
    Given version 3 is active
    When version 2 is offered
    Then version 3 is still active
