"""turmerictray: entry routers that share pools of model capacity fairly between teams.

The subpackages are:

``core``
    Identifiers, the exception hierarchy, logging, metrics, actors, the timer service and the
    application object.
``config``
    The configuration that operators publish and the settings of each process, both validated on
    load.
``transport``
    HTTP servers and connections to targets.
``crashes``
    Which requests, and which parts of prompts, crash the targets that run them.
``admission``
    The decision whether a request is dispatched, queued, retried or refused.
``fairness``
    The usage ledger of the teams and the fair queue of a router's pending requests.
``routing``
    The router's model of its targets and the choice of a target for a request.
``scheduling``
    The division of engines between the routers that place prompts, and their messages.
``membership``
    The routers of the fleet and the gossip between them.
``orders``
    Claims on the keys of non-idempotent requests, so that each runs at most once in the fleet.
``placement``
    Orders to engines to load the models that the configuration assigns to them.
``router``
    The entry instance: HTTP front, dispatcher, upstream calls, watchers and peer link.
``platform``
    Adapters to the platform: its documents, headers, store and engines.
``standins``
    Minimal substitutes for the platform's systems, each a process of its own.
``loadtool``
    Load generator, experiments and their reports.
``analysis``
    Evaluation of the routers' logs.
``simulation``
    Routers and engines in virtual time, with the production decision code.
``cli``
    The command-line tool.
"""

__version__ = "0.1.0"
