Feature: Explaining the outcome of a request

  Scenario Outline: Router logs explain why a request failed
    Given a deployment with 1 router(s)
    And the next 4 requests to app workers trigger <fault>
    When a caller sends <method> <target> with the id <id>
    Then the logs explain <id> by "<cause>"

    Examples:
      | fault           | method | target   | id  | cause                                                       |
      | reset_after_run | POST   | /order/1 | q01 | an attempt was interrupted after the request had been sent  |
      | hang            | POST   | /order/1 | q02 | the time limit of the route or of the caller expired        |
      | shed            | GET    | /ping/1  | q03 | none of the targets it was sent to ran it                   |
      | none            | GET    | /gone/1  | q04 | no route of the active configuration matches                |
      | none            | GET    | /ping/1  | q05 | cause: not in the router: it relayed the target's answer    |

  Scenario: A request that no log mentions
    Given a deployment with 1 router(s)
    Then the logs explain q99 by "no line mentions q99"
