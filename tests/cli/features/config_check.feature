Feature: The command-line tool refuses bad settings with a clear, located error
  Scenario: A router settings file with a wrong port
    Given a router settings file whose port is 70000
    When "turmerictray config check" runs on it as router settings
    Then it exits 1 and names "$.listen.port" and the file

  Scenario: A router refuses to start on a bad settings file
    Given a router settings file whose port is 70000
    When "turmerictray serve" runs on it
    Then it exits 2 and names "$.listen.port" and the file

  Scenario: A valid example configuration passes
    Given the example configuration "examples/volta-sachet/config.json"
    When "turmerictray config check" runs on it as a configuration text
    Then it exits 0
