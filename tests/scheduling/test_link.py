"""Messages between routers and the scheduler over real sockets."""

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
        redialled=True,
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
def heard():
    return []


@pytest.fixture
def links(heard):
    pair = [SchedulingLink(free_address(), heard.append) for _ in range(2)]
    for link in pair:
        link.start()
    yield pair
    for link in pair:
        link.stop()


def wait_heard(heard, count: int) -> None:
    until = time.monotonic() + 3
    while len(heard) < count and time.monotonic() < until:
        time.sleep(0.01)


def test_every_message_arrives_as_it_was_sent(links, heard):
    asker, scheduler = links
    for message in MESSAGES:
        assert asker.send(scheduler.address, message)
    wait_heard(heard, len(MESSAGES))
    assert heard == MESSAGES


def test_bytes_that_are_no_message_are_passed_over(links, heard):
    asker, scheduler = links
    asker._outlet(scheduler.address).send(b"\xc1junk")
    asker.send(scheduler.address, StillWaiting("r1"))
    wait_heard(heard, 1)
    assert heard == [StillWaiting("r1")]


def test_a_connection_can_be_opened_anew(links, heard):
    asker, scheduler = links
    asker.send(scheduler.address, StillWaiting("r1"))
    wait_heard(heard, 1)
    asker.redial(scheduler.address)
    assert not asker.is_dialled(scheduler.address)
    asker.send(scheduler.address, StillWaiting("r2"))
    wait_heard(heard, 2)
    assert heard[-1] == StillWaiting("r2")


def test_messages_to_nobody_are_not_waited_for(links):
    asker, _ = links
    begun = time.monotonic()
    sent = [asker.send("tcp://127.0.0.1:1", StillWaiting("r1")) for _ in range(200)]
    assert time.monotonic() - begun < 1.0
    assert not all(sent)


def test_a_full_buffer_does_not_cost_what_is_in_it(links, heard, monkeypatch):
    """Guards against engines that count as busy with requests whose end was lost with a buffer."""
    asker, scheduler = links
    slow = heard.append
    monkeypatch.setattr(scheduler, "_on_message", lambda msg: (time.sleep(0.001), slow(msg)))
    words = [StillWaiting(f"{n:08}" * 1000) for n in range(3000)]
    sent = [word for word in words if asker.send(scheduler.address, word)]
    until = time.monotonic() + 20
    while len(heard) < len(sent) and time.monotonic() < until:
        time.sleep(0.01)
    assert len(sent) < len(words)
    assert heard == sent


def test_nothing_receives_any_more_once_a_link_has_stopped():
    """Guards against an abort at a process's end, where a thread is still in the library."""
    for _ in range(20):
        link = SchedulingLink(free_address(), lambda _: None)
        link.start()
        link.stop()
        assert not [t for t in threading.enumerate() if t.name == "scheduling-receive"]
