Feature: An idle connection closed at the wrong moment costs nobody an answer
  Scenario: A caller uses its connection again after a pause
    Given a fleet of 1 router and 1 engine
    When a caller asks twice over one connection with a pause of 3 seconds
    Then both answers are whole

  Scenario: A target closes connections that are idle
    Given a target that resets the second call of every connection
    When two orders are sent to it one after the other
    Then both are answered
