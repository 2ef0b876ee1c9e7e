Feature: Configuration texts are checked before they are taken
  A rejected text names the field and the reason, and changes nothing in force.

  Scenario: A text with a wrong type is refused with its location
    Given a configuration text whose first target's slots is "four"
    When the text is checked
    Then it is refused naming "$.services[0].targets[0].slots"

  Scenario: A text that depends on an unknown service is refused
    Given a configuration text whose service depends on "billing"
    When the text is checked
    Then it is refused naming "$.services[0].depends_on"

  Scenario: Two services that depend on each other are refused
    Given a configuration text whose services "llm" and "orders" depend on each other
    When the text is checked
    Then it is refused naming "llm -> orders -> llm"

  Scenario: A plain service told to load models is refused
    Given a configuration text whose plain service is told to load a model
    When the text is checked
    Then it is refused naming "$.services[1].targets[*].models"

  Scenario: An older version never replaces a newer one
    Given version 3 is in force
    When version 2 is offered
    Then version 3 is still in force
