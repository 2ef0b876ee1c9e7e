Feature: From a request's id to its cause

  Scenario Outline: The logs of the routers tell why a request failed
    Given a deployment with 1 router(s)
    And the next 4 requests at app workers meet <fault>
    When a caller sends <method> <target> with the id <id>
    Then the logs explain <id> by "<cause>"

    Examples:
      | fault           | method | target   | id  | cause                                            |
      | reset_after_run | POST   | /order/1 | q01 | a try broke off after the request had been sent  |
      | hang            | POST   | /order/1 | q02 | the route's or the caller's time was over        |
      | shed            | GET    | /ping/1  | q03 | the targets that were tried did not run it       |
      | none            | GET    | /gone/1  | q04 | no route of the text in force matches            |
      | none            | GET    | /ping/1  | q05 | none on the router's side                        |

  Scenario: A request that no log mentions
    Given a deployment with 1 router(s)
    Then the logs explain q99 by "no line mentions q99"
