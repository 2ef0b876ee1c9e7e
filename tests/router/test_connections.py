"""Reuse of idle connections to callers and to targets."""

import http.client
import json
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread

from pytest_bdd import given, scenarios, then, when

from turmerictray.router.upstream import Upstream

scenarios("features/connections.feature")


@given("a fleet of 1 router and 1 engine", target_fixture="fleet")
def fleet(start_fleet):
    return start_fleet(engines=1, routers=1, services=0, teams={"depot": 1.0})


@when("a caller sends two requests over one connection with a pause of 3 seconds between them")
def send_two_requests(fleet, ctx):
    # HTTP libraries keep connections open. If the router closes one after a second, the caller's
    # next request can fail on it, and the caller cannot tell whether that request was run.
    port = int(fleet.routers()[0].url.rsplit(":", 1)[1])
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    sock = None
    ctx["answers"] = []
    for pause in (0.0, 3.0):
        time.sleep(pause)
        body = json.dumps({"max_tokens": 2, "messages": [{"role": "user", "content": "plan"}]})
        conn.request("POST", "/v1/chat/completions", body, {"X-Team": "depot"})
        resp = conn.getresponse()
        ctx["answers"].append((resp.status, json.loads(resp.read())))
        assert sock in (None, conn.sock), "the router closed the connection"
        sock = conn.sock


@then("both answers are complete")
def check_complete(ctx):
    assert [status for status, _ in ctx["answers"]] == [200, 200]
    assert all(doc["usage"]["completion_tokens"] == 2 for _, doc in ctx["answers"])


class SingleRequestHandler(BaseHTTPRequestHandler):
    """Handler that answers the first request of a connection and closes it on the second."""

    protocol_version = "HTTP/1.1"
    calls = 0

    def do_POST(self) -> None:  # noqa: N802 - name required by http.server
        self.calls += 1
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.calls > 1:
            self.close_connection = True
            return
        self.send_response(200)
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"{}")

    def log_message(self, *_args) -> None:
        """Do not log requests to the test's output."""


@given("a target that closes every connection on its second request", target_fixture="target_url")
def target():
    server = ThreadingHTTPServer(("127.0.0.1", 0), SingleRequestHandler)
    Thread(target=server.serve_forever, daemon=True).start()
    yield f"http://127.0.0.1:{server.server_port}/book"
    server.shutdown()


@when("two non-idempotent requests are sent to it one after the other")
def send_two_orders(target_url, ctx):
    # The target closes the idle connection just as the second request is written to it. Sent on
    # that connection, the request would end as "outcome unknown" although it never ran, and the
    # caller would have to find out what happened to it.
    upstream = Upstream()
    ctx["answers"] = []
    for _ in range(2):
        resp = upstream.open(target_url, b"{}", {}, 1.0, 5.0, idempotent=False)
        ctx["answers"].append((resp.status, b"".join(upstream.stream(resp, target_url))))
    upstream.close()


@then("both are answered")
def check_answered(ctx):
    assert ctx["answers"] == [(200, b"{}")] * 2
