"""turmerictray: entry routers that share one pool of model capacity fairly between teams.

The package is divided by concern:

``core``
    Identifiers, the exception tree, logging, the timer service and the application object.
``config``
    The platform's configuration text and the daemon's settings, both checked on load.
``fairness``
    The per-team service ledger and the fair queue that orders a router's backlog.
``routing``
    The router's view of targets and the choice of a target for a request.
``router``
    The entry-instance daemon: HTTP front, dispatcher, upstream calls, watchers, peer link.
``standins``
    Small stand-ins for the platform's systems, each its own process.
``loadtool``
    The load and experiment tool and its reports.
``cli``
    The command-line tool.
"""

__version__ = "0.1.0"
