Feature: A stream holds events of one software version

  Background:
    Given a deployment with 3 router(s), and 2 engines each of the versions v1 and v2

  Scenario: A stream that breaks continues at its own version within the answer
    When 12 callers request streams that each break once
    Then 12 streams are whole
    And each stream holds one version

  Scenario: A stream that its caller takes up at another router continues at its own version
    When 24 callers leave their streams and take them up at another router
    Then at least 20 streams go on
    And each stream holds one version

  Scenario Outline: Streams of a killed router, the scheduler or another, continue at their own version
    When 24 callers lose their streams to a kill of router <number> and take them up at another
    Then at least 12 streams go on
    And each stream holds one version

    Examples:
      | number |
      | 1      |
      | 2      |
      | 3      |

  Scenario: A stream of a route with two services is taken up at the service that began it
    Given the route plan has a second service, with 1 engine of the version v9
    When 24 callers leave their streams and take them up at another router
    Then at least 20 streams go on
    And each stream holds one version

  Scenario: Streams are taken up at a router that has just started
    When 24 callers leave their streams and take them up at a router started meanwhile
    Then at least 12 streams go on
    And each stream holds one version

  Scenario: Streams are taken up after all routers have restarted one after the other
    When 24 callers leave their streams and take them up once each router has restarted
    Then at least 20 streams go on
    And each stream holds one version

  Scenario: A stream whose version is gone does not go on at the other
    When 12 callers leave their streams, and take them up once their version is gone
    Then no stream goes on
    And each attempt to take up a stream was refused without a run

  Scenario Outline: A restarted router does not take a version that has left for never seen
    When 24 callers leave their streams, whose version leaves before router <number> restarts
    Then no stream goes on
    And each attempt to take up a stream was refused without a run

    Examples:
      | number |
      | 1      |
      | 2      |
      | 3      |

  Scenario: Routers that are all killed do not join streams to the version that they find
    When 24 callers leave their streams, whose version leaves before all routers are killed
    Then no stream goes on
    And each attempt to take up a stream was refused without a run

  Scenario: Routers that are all killed while both versions serve do not join streams
    When 24 callers leave their streams and take them up once all routers were killed
    Then each stream holds one version

  Scenario: Streams go on after all routers were killed while both versions serve
    When 24 callers leave their streams and take them up once all routers were killed
    Then at least 12 streams go on

  Scenario Outline: A stream that can't be identified does not go on
    When a caller takes up a stream with <resumes>
    Then no stream goes on
    And each attempt to take up a stream was refused without a run

    Examples:
      | resumes                           |
      | an unknown id                     |
      | no id                             |
      | an empty id                       |
      | an id of 10 kB                    |
      | the id of another team's stream   |
