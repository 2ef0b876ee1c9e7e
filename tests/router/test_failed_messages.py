"""Unexpected exceptions in actors of the product's own path."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pykka
import pytest

from turmerictray.config.load import parse_config
from turmerictray.config.snapshot import ConfigSnapshot
from turmerictray.core.errors import InternalFailure, QueueTimeout
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TeamId
from turmerictray.core.supervision import Supervisor, install_supervisor
from turmerictray.core.timer import Tick
from turmerictray.router import dispatcher as dispatcher_module
from turmerictray.router.dispatcher import Dispatcher
from turmerictray.router.messages import Admit, ConfigApplied, Placement
from turmerictray.router.watch_config import ConfigWatcher


class Unexpected(Exception):
    """An exception that no actor knows."""


def fail(*_args: object) -> None:
    raise Unexpected


def text(version: int) -> bytes:
    targets = [{"id": f"t{n}", "url": f"http://t{n}", "zone": "z", "slots": 9} for n in range(2)]
    services = [{"name": "s", "kind": "plain", "targets": targets}]
    return json.dumps({"version": version, "services": services, "teams": [{"id": "a"}]}).encode()


@pytest.fixture
def supervisor():
    found = Supervisor(lambda: None)
    install_supervisor(found)
    yield found
    install_supervisor(None)
    pykka.ActorRegistry.stop_all()


@pytest.fixture
def dispatcher(supervisor):
    found = Dispatcher(NodeId("r1"), 1, ConfigSnapshot())
    found.on_receive(ConfigApplied(parse_config(text(1))))
    for _ in range(3):
        found.on_receive(Tick("expire", time.monotonic() + 9))
    return found


def admit(dispatcher: Dispatcher, number: int, prefix_key: str | None = None):
    placement = Placement(ServiceName("s"), prefix_key)
    message = Admit(RequestId(str(number)), TeamId("a"), 1.0, placement, config_version=9)
    dispatcher.on_receive(message)
    return message.reply


def test_request_whose_placement_fails_is_refused_alone(dispatcher, supervisor, monkeypatch):
    """Guards against one request at the head of a queue that has all others refused."""
    choose = dispatcher_module.choose_target

    def choose_others(targets, prefix_key, exclude):
        return fail() if prefix_key == "poison" else choose(targets, prefix_key, exclude)

    monkeypatch.setattr(dispatcher_module, "choose_target", choose_others)
    for number in range(0, 8, 2):
        assert isinstance(admit(dispatcher, number, "poison").exception(0), InternalFailure)
        assert admit(dispatcher, number + 1).result(0).target
    assert not supervisor.is_unfit


@pytest.mark.parametrize("times", [1, 99])
def test_expired_request_whose_refusal_fails_keeps_no_other_from_its_own(
    dispatcher, supervisor, monkeypatch, times
):
    """Guards against callers that wait for ever, as they were taken from the queue before."""
    granted = [admit(dispatcher, number) for number in range(18)]
    assert all(reply.result(0).target for reply in granted)
    waiting = [admit(dispatcher, number) for number in range(18, 24)]
    assert not any(reply.done() for reply in waiting)
    release, calls = dispatcher.hold.release, []

    def release_first_failing(team):
        calls.append(team)
        return fail() if len(calls) <= times else release(team)

    monkeypatch.setattr(dispatcher.hold, "release", release_first_failing)
    for _ in range(4):
        dispatcher.on_receive(Tick("expire", time.monotonic() + 999))
    assert all(reply.done() for reply in waiting)
    assert all(isinstance(reply.exception(0), QueueTimeout) for reply in waiting)
    assert len(calls) == len(waiting)
    assert not supervisor.is_unfit


def test_configuration_that_fails_halfway_leaves_the_last_good_one(dispatcher, monkeypatch):
    """Guards against a router whose parts use different configurations."""
    with monkeypatch.context() as patch:
        calls = []
        refuse = dispatcher._refuse_removed_services

        def refuse_once_failing(cfg):
            calls.append(1)
            return fail() if len(calls) == 1 else refuse(cfg)

        patch.setattr(dispatcher, "_refuse_removed_services", refuse_once_failing)
        dispatcher.on_receive(ConfigApplied(parse_config(text(2))))
    assert dispatcher.config.version == dispatcher.snapshot.current.version == 1
    dispatcher.on_receive(ConfigApplied(parse_config(text(3))))
    assert dispatcher.config.version == dispatcher.snapshot.current.version == 3


class Sink(pykka.ThreadingActor):
    """Receives what the watcher passes on."""

    use_daemon_thread = True

    def on_receive(self, message: object) -> None:
        return None


def test_configuration_is_read_on_after_an_unexpected_exception(supervisor, monkeypatch):
    """Guards against a router that never reads its configuration again, and is ready."""
    reads = []

    class Handler(BaseHTTPRequestHandler):
        def log_message(self, *_args):
            return

        def do_GET(self):  # noqa: N802 - name required by http.server
            reads.append(time.monotonic())
            body = text(len(reads))
            self.send_response(200)
            self.send_header("ETag", f'"{len(reads)}"')
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    offer = ConfigWatcher.offer

    def offer_once_failing(self, raw):
        return fail() if len(reads) == 1 else offer(self, raw)

    monkeypatch.setattr(ConfigWatcher, "offer", offer_once_failing)
    sink = Sink.start()
    ConfigWatcher.start(f"http://127.0.0.1:{server.server_port}", sink, sink, 0.2)
    deadline = time.monotonic() + 5
    while len(reads) < 3 and time.monotonic() < deadline:
        time.sleep(0.02)
    server.shutdown()
    assert len(reads) >= 3
