"""Requests reach a worker as the caller sent them, and ambiguous ones are refused."""

import pytest

from turmerictray.platform.standins.caller import PROMPT_HEADERS, make_request
from turmerictray.platform.standins.local import API_KEY, TEAM


@pytest.fixture
def deployment(start_deployment):
    return start_deployment(routers=1)


@pytest.fixture
def caller(deployment, caller_to):
    return caller_to(deployment.routers[0])


def only_request(deployment, service: str):
    (seen,) = [
        seen for worker in deployment.of_service(service) for seen in worker.received_requests
    ]
    return seen


def test_request_is_forwarded_byte_for_byte(deployment, caller):
    target = "/order/%7Ea//b/../c?x=%2f&y=+&z"
    body = bytes(range(256)) * 40
    answer = caller.request("PUT", target, body, X_Own="v a l", Cookie="a=1; b=2")
    assert answer.status == 200
    seen = only_request(deployment, "app")
    assert (seen.method, seen.target, seen.body) == ("PUT", target, body)
    assert seen.headers["X-Own"] == "v a l"
    assert seen.headers["Cookie"] == "a=1; b=2"
    assert answer.body == f"PUT {target} {len(body)}".encode()


def test_router_only_headers_are_set_or_dropped(deployment, caller):
    # A caller that could set these headers would act as another team, reserve an engine's memory or
    # continue from the cached tokens of another caller's request.
    forged = {
        "X_Tenant": "rider",
        "X_Hold": "h1",
        "X_Pin_Ms": "4000",
        "X_Kv_Backup": "1.2.3.4:5",
        "Kv_From": "1.2.3.4:5/x",
        "Kv_Fetch": "1.2.3.4:5",
        "X_Expect_Instance": "i-other",
        "Connection": "X-Dropped",
        "X_Dropped": "1",
    }
    answer = caller.request("POST", "/plan/1", b"p", **PROMPT_HEADERS, **forged)
    assert answer.status == 200
    headers = only_request(deployment, "llm").headers
    assert headers["X-Tenant"] == TEAM
    assert headers["X-Expect-Instance"].startswith("llm-")
    assert headers["X-Prompt-Prefix"] == PROMPT_HEADERS["X_Prompt_Prefix"]
    assert 0 < int(headers["X-Deadline-Ms"]) <= 3000
    gone = {"Authorization", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch"}
    assert not (gone | {"X-Dropped"}) & headers.keys()
    assert API_KEY not in str(headers)


def test_chunked_body_is_one_request(deployment, caller):
    # If the body ended before its last chunk, the rest would be parsed as a second request on the
    # connection, and the caller would receive two answers to one request.
    head = make_request("POST", "/order/1", Content_Length="", Transfer_Encoding="chunked")
    caller.send(head + b"3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nX-Trailer: 1\r\n\r\n")
    assert caller.read().status == 200
    assert only_request(deployment, "app").body == b"abcdefg"
    assert caller.request("POST", "/order/2").status == 200


@pytest.mark.parametrize(
    "head",
    [
        make_request("POST", "/order/1", b"abc", Transfer_Encoding="chunked"),
        make_request("POST", "/order/1", b"abc").replace(b"Host:", b"Content-Length: 5\r\nHost:"),
        make_request("POST", "/order/1", b"abc", Content_Length="3,3"),
    ],
)
def test_ambiguous_framing_is_refused_and_nothing_runs(deployment, caller, head):
    smuggled = make_request("POST", "/order/smuggled")
    caller.send(head + smuggled)
    assert caller.read().status == 400
    assert caller.is_closed()
    assert not any(worker.received_requests for worker in deployment.workers)


def test_unknown_keys_and_routes_are_refused(deployment, caller):
    assert caller.request("GET", "/ping/1", Authorization="Bearer nobody").status == 401
    assert caller.request("GET", "/ping/1", Authorization="").status == 401
    assert caller.request("GET", "/nowhere/1").status == 404
    assert caller.request("GET", "/ping").status == 404
    assert caller.request("GET", "/open/1", Authorization="").status == 200
    assert "X-Tenant" not in only_request(deployment, "app").headers


def test_header_over_the_limit_is_refused(caller):
    answer = caller.request("GET", "/ping/1", X_Long="x" * 40_000)
    assert answer.status in (413, 431)
    assert caller.is_closed()


def test_incomplete_head_times_out(caller):
    caller.send(b"GET /ping/1 HT")
    assert caller.read().status in (0, 408)
    assert caller.is_closed(4.5)


def test_slowly_sent_head_times_out(caller):
    # Each byte arrives within the time limit of a single read, so only a limit on the whole head
    # ends the connection. Without it, a few hundred such callers would occupy every thread of the
    # front.
    head = make_request("GET", "/ping/1")
    caller.sock.settimeout(0.3)
    with pytest.raises(OSError):
        for at in range(len(head)):
            caller.send(head[at : at + 1])
            try:
                if caller.sock.recv(1) == b"":
                    raise ConnectionResetError
            except TimeoutError:
                continue
            raise ConnectionResetError


def test_connection_is_reused_for_next_request(deployment, caller):
    assert all(caller.request("GET", f"/ping/{n}").status == 200 for n in range(10))
    assert sum(worker.connections for worker in deployment.of_service("app")) <= 2
