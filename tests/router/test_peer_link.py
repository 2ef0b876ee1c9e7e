"""A router whose peer link does not work terminates or reports it."""

import re
import signal
import socket
import subprocess
import time

import urllib3
from pytest_bdd import given, scenarios, then, when

from turmerictray.core.actor import ACTOR_FAILED_EXIT
from turmerictray.core.logs import parse_event
from turmerictray.loadtool.local import LocalFleet

scenarios("features/peer_link.feature")

HTTP = urllib3.PoolManager(retries=False)
MIN_SILENCE_S = 3.0


@given("the settings of a router whose heartbeat address is in use", target_fixture="fleet")
def occupied_fleet(start_fleet, ctx, monkeypatch):
    # Guards against a router whose peer link fails at its start and which serves all the same.
    make_settings = LocalFleet._router_settings
    ctx["sock"] = socket.socket()

    def occupy(self, idx, ports):
        ctx["sock"].bind(("127.0.0.1", ports[0].heartbeat))
        ctx["sock"].listen()
        return make_settings(self, idx, ports)

    monkeypatch.setattr(LocalFleet, "_router_settings", occupy)
    monkeypatch.setattr(LocalFleet, "wait_ready", lambda *_: None)
    return start_fleet(engines=0, routers=1, services=0)


@when("the router is started")
def router_started(fleet):
    assert fleet.routers()


@then("it terminates within 10 seconds and its log names the address")
def check_terminated(fleet, ctx):
    proc = fleet.procs["router-0"]
    try:
        assert proc.popen.wait(10) == ACTOR_FAILED_EXIT
    except subprocess.TimeoutExpired:
        raise AssertionError("router-0 runs without a peer link") from None
    finally:
        ctx["sock"].close()
    events = _events(fleet, "router-0")
    failures = [event for event in events if event["event"] == "actor_failed"]
    assert [event["actor"] for event in failures] == ["PeerLink"]
    assert "cannot listen on tcp://127.0.0.1:" in failures[0]["reason"]


@given("a fleet of 2 routers and 1 engine", target_fixture="fleet")
def fleet(start_fleet):
    return start_fleet(engines=1, routers=2, services=0, teams={"depot": 1.0})


@when("router-0 is paused")
def pause(fleet, ctx):
    fleet.signal("router-0", signal.SIGSTOP)
    ctx["url"] = fleet.procs["router-1"].url


@when("router-0 is paused and router-1 is killed and started again")
def pause_and_restart(fleet, ctx):
    pause(fleet, ctx)
    fleet.kill("router-1")
    ctx["url"] = fleet.restart("router-1").url


@then("router-1 reports the silence of router-0 in its log and metrics within 5 seconds")
def check_reported(fleet, ctx):
    # Guards against a router that hears nobody although nobody is partitioned from it.
    deadline = time.monotonic() + 5
    while not (_is_logged(fleet) and _silence_s(ctx["url"]) > MIN_SILENCE_S):
        assert time.monotonic() < deadline, (_is_logged(fleet), _silence_s(ctx["url"]))
        time.sleep(0.1)


def _events(fleet, name: str) -> list[dict[str, str]]:
    return [parse_event(line) for line in (fleet.dir / f"{name}.log").read_text().splitlines()]


def _is_logged(fleet) -> bool:
    events = _events(fleet, "router-1")
    lost = [event for event in events if event["event"] == "peer_lost"]
    return any(event["peer"] == "router-0" for event in lost)


def _silence_s(url: str) -> float:
    try:
        page = HTTP.request("GET", url + "/metrics", timeout=1.0).data.decode()
    except urllib3.exceptions.HTTPError:
        return 0.0
    found = re.search(r'peer_silence_seconds\{peer="router-0"\} (\S+)', page)
    return float(found[1]) if found else 0.0
