Feature: Engines load the configured models and never return to older ones
  Scenario: A change reaches every engine once
    Given 3 routers and 2 engines that check fencing numbers, configured to load "chat-1"
    Then within 6 seconds every engine has loaded "chat-1" by one order
    When the configuration changes to "chat-2"
    Then within 6 seconds every engine has loaded "chat-2" by one more order

  Scenario Outline: The router responsible for an engine freezes during a change and resumes later
    Given 3 routers and 1 engine that <kind> fencing numbers, configured to load "chat-1"
    Then within 6 seconds every engine has loaded "chat-1" by one order
    When the router that sent the order is frozen and the configuration changes to "chat-2"
    Then within 10 seconds every engine has loaded "chat-2" by one more order
    When the frozen router resumes
    Then for 4 seconds no engine receives an order for "chat-1" again

    Examples:
      | kind   |
      | check  |
      | ignore |

  Scenario: An engine that checks fencing numbers refuses a delayed order
    Given 3 routers and 1 engine that check fencing numbers, configured to load "chat-1"
    Then within 6 seconds every engine has loaded "chat-1" by one order
    When an order for "chat-0" with the previous fencing number arrives
    Then it is refused and the engine keeps "chat-1"

  Scenario: An engine restarts without models
    Given 3 routers and 1 engine that check fencing numbers, configured to load "chat-1"
    Then within 6 seconds every engine has loaded "chat-1" by one order
    When the engine is killed and restarted
    Then within 6 seconds every engine has loaded "chat-1" by one order

  Scenario Outline: A router without a confirmed configuration finds an engine with other models
    Given a placer configured with "chat-1", unconfirmed for 60 seconds, and an engine that <kind> fencing numbers with "chat-2"
    When the placer compares engine and configuration
    Then it <first> the engine
    When the configuration service confirms the placer's version
    And the placer compares engine and configuration
    Then it orders the engine

    Examples:
      | kind   | first          |
      | check  | orders         |
      | ignore | does not order |

  Scenario: The responsible router is listed as leaving
    Given 3 routers and 1 engine that check fencing numbers, configured to load "chat-1"
    Then within 6 seconds every engine has loaded "chat-1" by one order
    When the instance list reports the router that sent the order as leaving
    And the configuration changes to "chat-2"
    Then within 6 seconds every engine has loaded "chat-2" by one more order
    And another router sent it

  Scenario: A router that has just started has not received heartbeats of its peers yet
    Given a placer just started with one peer, and an engine without its model
    When the placer compares engine and configuration
    Then it does not order the engine
    When a heartbeat of the peer arrives
    And the placer compares engine and configuration
    Then it orders the engine
