"""The threads that follow the store."""

import pykka

from turmerictray.platform.sources import PrefixWatch
from turmerictray.platform.store import Snapshot
from turmerictray.router.published import PublishedCopy, StorePosition


class OneAnswer:
    """A store that answers once."""

    def read_all(self, prefix: str) -> Snapshot:
        return Snapshot([], StorePosition(1, 7))


class ReadAlways:
    """Lets the router read."""

    def should_read(self, position) -> bool:
        return True

    def note_read(self, prefix: str) -> None:
        """Nothing depends on it here."""


def test_an_answer_that_comes_after_the_broker_has_stopped_ends_the_watch():
    """Guards against a traceback in the log of each stop beside a change of the targets."""

    def refuse(snapshot: Snapshot) -> None:
        raise pykka.ActorDeadError("Broker not found")

    watch = PrefixWatch(OneAnswer(), "servers/", ReadAlways(), PublishedCopy(), refuse, refuse)
    watch._run()
