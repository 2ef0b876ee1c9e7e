"""Tests for the end of the peer link's receiving thread."""

import threading
import time

import pykka
import pynng

from turmerictray.fairness.ledger import PeerCounters
from turmerictray.loadtool.ports import free_port
from turmerictray.router.peers import _ENCODER, Heartbeat, PeerLink


class Sink(pykka.ThreadingActor):
    """Actor that ignores its messages."""

    use_daemon_thread = True

    def on_receive(self, message: object) -> None:
        pass


def test_heartbeat_that_arrives_while_the_router_stops_raises_no_error(monkeypatch):
    """Guards against a traceback in the log of a planned stop."""
    errors = []
    monkeypatch.setattr(threading, "excepthook", errors.append)
    sink = Sink.start()
    address = f"tcp://127.0.0.1:{free_port()}"
    with pynng.Pub0(listen=address) as pub:
        link = PeerLink.start(
            node="r0",
            zone="z",
            listen=f"tcp://127.0.0.1:{free_port()}",
            peers={"r1": address},
            dispatcher=sink,
            peer_timeout_s=3.0,
            placer=sink,
            fetcher=sink,
            url="http://r0",
        )
        data = _ENCODER.encode(Heartbeat("r1", "z", 1, 1, PeerCounters("r1", 1, {}), True))
        stop = threading.Event()

        def publish() -> None:
            while not stop.is_set():
                pub.send(data)
                time.sleep(0.0005)

        publisher = threading.Thread(target=publish)
        publisher.start()
        time.sleep(0.5)
        link.stop()
        stop.set()
        publisher.join()
    sink.stop()
    assert not errors, errors[0].exc_value
