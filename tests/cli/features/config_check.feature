Feature: The command-line tool rejects invalid files and names the location of the error
  Scenario: A router settings file with an invalid port
    Given a router settings file whose port is 70000
    When "turmerictray config check" runs on it as router settings
    Then it exits 1 and names "$.listen.port" and the file

  Scenario: A router refuses to start with an invalid settings file
    Given a router settings file whose port is 70000
    When "turmerictray serve" runs on it
    Then it exits 2 and names "$.listen.port" and the file

  Scenario: A valid example configuration passes
    Given the example configuration "examples/volta-sachet/config.json"
    When "turmerictray config check" runs on it as a configuration
    Then it exits 0

  Scenario Outline: Files of the platform are checked with the code that routers use
    Given a file with <content>
    When "turmerictray config check --kind <kind>" runs on it
    Then it exits <code> and prints "<output>"

    Examples:
      | content                 | kind   | code | output                              |
      | a routing configuration | routes | 0    | routing text version 3, 1 routes    |
      | a route without service | routes | 1    | has neither service nor backends    |
      | an invalid version      | routes | 1    | $.version                           |
      | node settings           | node   | 0    | settings of r1 in z1, 2 seeds       |
      | node without ip         | node   | 1    | missing required field `ip`         |
      | a seed with no port     | node   | 1    | '10.0.0.9' is not host:port         |
      | a routing configuration | nodes  | 2    | one of config, routes, node         |
