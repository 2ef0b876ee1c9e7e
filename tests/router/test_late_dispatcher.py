"""A dispatcher that answers late must not cost a router its heartbeats or its view of the load."""

import time

import pykka
import pytest

from turmerictray.core.timer import Tick
from turmerictray.router.watch_load import LoadPoller


class LateDispatcher(pykka.ThreadingActor):
    """Answers after the asker's patience."""

    def on_receive(self, message):
        time.sleep(2.5)
        return []


@pytest.fixture
def actors():
    yield
    pykka.ActorRegistry.stop_all()


def test_load_poller_goes_on_after_a_late_answer(actors):
    # The dispatcher's machine was frozen while a poll was asked for. The error of the late answer
    # ended the poller: the router never heard of any target's load again.
    poller = LoadPoller.start(LateDispatcher.start())
    poller.tell(Tick("load", time.monotonic()))
    time.sleep(2.4)
    assert poller.is_alive()
