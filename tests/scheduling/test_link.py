"""Messages between routers and schedulers over real sockets."""

import socket
import threading
import time

import pytest

from turmerictray.scheduling.link import SchedulingLink
from turmerictray.scheduling.messages import (
    Ended,
    FirstSeen,
    LeavingSeen,
    PlaceGranted,
    PlaceRefused,
    PlaceRequest,
    PlaceWithdrawn,
    StillWaiting,
)

MESSAGES = [
    PlaceRequest(
        call_id=1 << 62,
        origin="r1",
        reply_to="tcp://h:1",
        reconnected=True,
        zone="z",
        req_id="q",
        team="t",
        service="llm",
        cost=5.0,
        parts=[("a", 3)],
        input_tokens=3,
        output_tokens=1,
        wait_s=0.4,
        give_up_s=2.0,
        exclude=["e1"],
        retry=False,
        repeat=True,
    ),
    PlaceWithdrawn(1, "llm"),
    FirstSeen(1, "llm", "e1", 0.2),
    Ended(1, "llm", "e1", "done", 5.0),
    LeavingSeen("llm", "e1"),
    PlaceGranted(1, "r2", "tcp://h:2", "e1", "e", "llm", "h:3", "z", 8, 0.1, 3, 0, "h:4"),
    PlaceRefused(1, "r2", "QueueFull", "queue_full", 0.5),
    StillWaiting("r2"),
]


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"tcp://127.0.0.1:{sock.getsockname()[1]}"


@pytest.fixture
def received():
    return []


@pytest.fixture
def links(received):
    pair = [SchedulingLink(free_address(), received.append) for _ in range(2)]
    for link in pair:
        link.start()
    yield pair
    for link in pair:
        link.stop()


def wait_received(received, count: int) -> None:
    until = time.monotonic() + 3
    while len(received) < count and time.monotonic() < until:
        time.sleep(0.01)


def test_every_message_arrives_as_it_was_sent(links, received):
    requester, scheduler = links
    for message in MESSAGES:
        assert requester.send(scheduler.address, message)
    wait_received(received, len(MESSAGES))
    assert received == MESSAGES


def test_malformed_messages_are_ignored(links, received):
    requester, scheduler = links
    requester._socket_to(scheduler.address).send(b"\xc1junk")
    requester.send(scheduler.address, StillWaiting("r1"))
    wait_received(received, 1)
    assert received == [StillWaiting("r1")]


def test_a_connection_can_be_reopened(links, received):
    requester, scheduler = links
    requester.send(scheduler.address, StillWaiting("r1"))
    wait_received(received, 1)
    requester.reconnect(scheduler.address)
    assert not requester.is_connected(scheduler.address)
    requester.send(scheduler.address, StillWaiting("r2"))
    wait_received(received, 2)
    assert received[-1] == StillWaiting("r2")


def test_sending_to_an_unreachable_address_does_not_block(links):
    requester, _ = links
    begun = time.monotonic()
    sent = [requester.send("tcp://127.0.0.1:1", StillWaiting("r1")) for _ in range(200)]
    assert time.monotonic() - begun < 1.0
    assert not all(sent)


def test_a_full_buffer_keeps_its_messages(links, received, monkeypatch):
    """Guards against engines counted as busy because `Ended` messages were lost with a buffer."""
    requester, scheduler = links
    deliver = received.append
    monkeypatch.setattr(scheduler, "_on_message", lambda msg: (time.sleep(0.001), deliver(msg)))
    payloads = [StillWaiting(f"{n:08}" * 1000) for n in range(3000)]
    sent = [payload for payload in payloads if requester.send(scheduler.address, payload)]
    until = time.monotonic() + 20
    while len(received) < len(sent) and time.monotonic() < until:
        time.sleep(0.01)
    assert len(sent) < len(payloads)
    assert received == sent


def test_no_receiving_thread_is_left_after_stop():
    """Guards against an abort at process exit while a receiving thread is still inside pynng."""
    for _ in range(20):
        link = SchedulingLink(free_address(), lambda _: None)
        link.start()
        link.stop()
        assert not [t for t in threading.enumerate() if t.name == "scheduling-receive"]
