Feature: Engines load what the configuration says, and never go back
  Scenario: A change reaches every engine once
    Given 3 routers and 2 engines that check fencing numbers, told to load "chat-1"
    Then within 6 seconds every engine has loaded "chat-1" by one order
    When the configuration says "chat-2"
    Then within 6 seconds every engine has loaded "chat-2" by one more order

  Scenario Outline: The router responsible for an engine freezes through a change and wakes late
    Given 3 routers and 1 engine that <kind> fencing numbers, told to load "chat-1"
    Then within 6 seconds every engine has loaded "chat-1" by one order
    When the router that gave the order is frozen and the configuration says "chat-2"
    Then within 10 seconds every engine has loaded "chat-2" by one more order
    When the frozen router wakes
    Then for 4 seconds no engine takes an order for "chat-1" again

    Examples:
      | kind   |
      | check  |
      | ignore |

  Scenario: An engine that checks refuses a late order that was already on its way
    Given 3 routers and 1 engine that check fencing numbers, told to load "chat-1"
    Then within 6 seconds every engine has loaded "chat-1" by one order
    When an order for "chat-0" with the fencing number before arrives
    Then it is refused and the engine keeps "chat-1"

  Scenario: An engine restarts with nothing loaded
    Given 3 routers and 1 engine that check fencing numbers, told to load "chat-1"
    Then within 6 seconds every engine has loaded "chat-1" by one order
    When the engine is killed and started again
    Then within 6 seconds every engine has loaded "chat-1" by one order

  Scenario Outline: A router whose knowledge nobody confirmed finds an engine with other models
    Given a placer told "chat-1" long ago and an engine that <kind> fencing numbers with "chat-2"
    When the placer compares them
    Then it <first> the engine
    When the configuration service confirms the placer's version
    And the placer compares them
    Then it orders the engine

    Examples:
      | kind   | first          |
      | check  | orders         |
      | ignore | does not order |

  Scenario: The responsible router is listed as leaving
    Given 3 routers and 1 engine that check fencing numbers, told to load "chat-1"
    Then within 6 seconds every engine has loaded "chat-1" by one order
    When the instance list calls the router that gave the order leaving
    And the configuration says "chat-2"
    Then within 6 seconds every engine has loaded "chat-2" by one more order
    And another router gave it

  Scenario: A router that has just started has not heard its peers yet
    Given a placer just started beside a peer, and an engine without its model
    When the placer compares them
    Then it does not order the engine
    When the peer is heard
    And the placer compares them
    Then it orders the engine
