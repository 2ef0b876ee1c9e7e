"""Load polling when the dispatcher answers late."""

import time

import pykka
import pytest

from turmerictray.core.timer import Tick
from turmerictray.router.watch_load import LoadPoller


class LateDispatcher(pykka.ThreadingActor):
    """Dispatcher that answers only after the query's timeout."""

    def on_receive(self, message):
        time.sleep(2.5)
        return []


@pytest.fixture
def actors():
    yield
    pykka.ActorRegistry.stop_all()


def test_load_poller_survives_a_late_answer(actors):
    """Guards against a poller that is ended by a timeout error.

    When the dispatcher's machine was frozen during a query, the timeout raised in the poller
    stopped it, and the router received no load report of any target any more.
    """
    poller = LoadPoller.start(LateDispatcher.start())
    poller.tell(Tick("load", time.monotonic()))
    time.sleep(2.4)
    assert poller.is_alive()
