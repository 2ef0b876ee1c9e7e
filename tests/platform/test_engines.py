"""Reading of an engine's listing of its cached prompt parts."""

import json
from http.server import BaseHTTPRequestHandler, HTTPServer
from threading import Thread

import pytest

from turmerictray.core.errors import EngineError
from turmerictray.core.ids import ServiceName, TargetId, ZoneId
from turmerictray.platform.engines import list_cached_parts
from turmerictray.routing.load import TargetInfo


@pytest.fixture
def engine():
    """An engine whose ``listing`` is sent to whoever asks for it."""

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self):
            body = json.dumps({"held": self.server.listing}).encode()
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_args):
            """Keep the test's output clean."""

    server = HTTPServer(("127.0.0.1", 0), Handler)
    Thread(target=server.serve_forever, daemon=True).start()
    yield server
    server.shutdown()
    server.server_close()


def cached_parts(server):
    address = f"127.0.0.1:{server.server_port}"
    info = TargetInfo(TargetId("e1"), ServiceName("llm"), address, ZoneId("z"), 8)
    return list_cached_parts(info)


def test_parts_are_listed(engine):
    engine.listing = [["", "00C0FFEE", 1200, "m"]]
    assert [(part.part_id, part.tokens) for part in cached_parts(engine)] == [("c0ffee", 1200)]


@pytest.mark.parametrize("tokens", [10**20, -1])
def test_listing_with_an_impossible_length_is_refused(engine, tokens):
    """Guards against a gossip message that fails on a length from a garbled answer."""
    engine.listing = [["", "a", tokens, "m"]]
    with pytest.raises(EngineError):
        cached_parts(engine)
