"""HTTP calls to targets, with failures classified by whether the target may have run the request.

urllib3 raises many kinds of error. What a caller needs to know is whether any byte of the request
may have reached the target: :class:`NotSent` says that none did, because no connection could be
opened, and :class:`OutcomeUnknown` is raised for every later failure.
"""

import time
from collections.abc import Iterator
from functools import partial

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from turmerictray.core.errors import NotSent, OutcomeUnknown, UpstreamRefused
from turmerictray.core.ids import ServiceName, TargetId, ZoneId
from turmerictray.crashes.exit_detection import Liveness, TargetExitDetector
from turmerictray.routing.load import TargetInfo
from turmerictray.transport.body import BodyEnd
from turmerictray.transport.bounded_input import (
    BoundedConnectionPool,
    StreamedResponse,
    body_end_of,
    bounded_pool_manager,
)
from turmerictray.transport.events import EventSplitter
from turmerictray.transport.reset import CALL_SOCKET_OPTIONS
from turmerictray.transport.retry_after import parse_retry_after_s

_STREAM_CHUNK_BYTES = 4096
_MAX_SILENCE_S = 2.5
"""How long a target that has ended an answer by a close may fail to respond. Pauses of sound
targets are rarely longer."""
_DEFAULT_PORTS = {"http": 80, "https": 443}


class _StreamConnection(urllib3.connection.HTTPConnection):
    response_class = StreamedResponse


class _StreamPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _StreamConnection


_POOL_CLASSES = {True: _StreamPool, False: BoundedConnectionPool}
"""By whether answers are streamed."""


class Upstream:
    """A router's connection pool to all targets.

    Parameters
    ----------
    maxsize : int
        Maximum number of idle connections kept open per target.
    """

    def __init__(self, maxsize: int = 64) -> None:
        self._pools = {
            is_stream: bounded_pool_manager(
                pool_class,
                num_pools=256,
                maxsize=maxsize,
                block=False,
                retries=False,
                socket_options=CALL_SOCKET_OPTIONS,
            )
            for is_stream, pool_class in _POOL_CLASSES.items()
        }
        self._exits = TargetExitDetector()

    def open(
        self,
        url: str,
        body: bytes,
        headers: dict[str, str],
        connect_s: float,
        read_s: float,
        idempotent: bool = True,
        is_stream: bool = False,
    ) -> urllib3.BaseHTTPResponse:
        """Send a POST request and return the response with its body unread.

        Parameters
        ----------
        url : str
            URL of the target, including the path.
        body : bytes
            Request body.
        headers : dict
            Request headers.
        connect_s, read_s : float
            Connect and read timeouts, in seconds.
        idempotent : bool
            Whether the call may be repeated. A call that may not is sent on a new connection.
        is_stream : bool
            Whether the body is streamed; any other is bounded as a whole, in time and size.

        Returns
        -------
        urllib3.BaseHTTPResponse
            Opened with ``preload_content=False``; the caller must read and release it.

        Raises
        ------
        NotSent
            The connection could not be opened; no byte reached the target.
        OutcomeUnknown
            The connection broke or timed out after the request may have been sent.
        UpstreamRefused
            The target answered 503 with ``X-Not-Run: 1``: it refused before doing any work.
        """
        # A target may close an idle connection just as the next request is written to it. An
        # idempotent request can then be repeated. A non-idempotent one would end with an unknown
        # outcome although it never ran, so it gets a new connection.
        new_connection = partial(_request_on_new_connection, _POOL_CLASSES[is_stream])
        send = self._pools[is_stream].request if idempotent else new_connection
        timeout = urllib3.Timeout(connect=connect_s, read=read_s)
        try:
            resp = send(
                "POST",
                url,
                body=body,
                headers=headers,
                timeout=timeout,
                preload_content=False,
                retries=False,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as exc:
            raise NotSent(f"connect failed: {exc}") from exc
        except HTTPError as exc:
            raise OutcomeUnknown(f"call broke: {exc}") from exc
        if resp.status == 503 and resp.headers.get("X-Not-Run") == "1":
            data = self.read(resp, url)
            rest_s = parse_retry_after_s(resp.headers.get("Retry-After"), time.time())
            raise UpstreamRefused(resp.status, data, rest_s)
        return resp

    def read(self, resp: urllib3.BaseHTTPResponse, url: str) -> bytes:
        """Return the body of a response of ``url`` that is not streamed.

        Raises
        ------
        OutcomeUnknown
            The connection failed before the end of the body, or the body is too large or slow.
        """
        return b"".join(self.stream(resp, url))

    def stream(self, resp: urllib3.BaseHTTPResponse, url: str) -> Iterator[bytes]:
        """Yield the body of ``resp``, a response of ``url``, as it arrives.

        Raises
        ------
        OutcomeUnknown
            The connection failed before the end of the body, or only its close ended the body and
            the target is not known to run.
        """
        try:
            yield from resp.stream(_STREAM_CHUNK_BYTES, decode_content=False)
        except HTTPError as exc:
            raise OutcomeUnknown(f"stream broke: {exc}") from exc
        finally:
            if not resp.closed:
                # The caller has left. The rest of the answer would be the next request's.
                resp.close()
            resp.release_conn()
        if body_end_of(resp) is BodyEnd.CONNECTION_CLOSE:
            target = _target_at(urllib3.util.parse_url(url))
            now = time.monotonic()
            found = self._exits.find_until(target, now, now + _MAX_SILENCE_S)
            if found is not Liveness.RUNNING:
                raise OutcomeUnknown(f"stream broke: {target.address} is {found.value} at its end")

    def stream_events(self, resp: urllib3.BaseHTTPResponse, url: str) -> Iterator[bytes]:
        """Yield the complete events of ``resp``, a response of ``url``, as they arrive.

        Raises
        ------
        OutcomeUnknown
            The connection failed, or the stream was broken off.
        """
        splitter = EventSplitter()
        for data in self.stream(resp, url):
            if events := splitter.feed(data):
                yield b"".join(event.data for event in events)
        splitter.check_complete(body_end_of(resp))
        if splitter.rest:
            yield splitter.rest

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.clear()


def _request_on_new_connection(
    pool_class: type[urllib3.HTTPConnectionPool],
    method: str,
    url: str,
    headers: dict[str, str],
    **options,
):
    # The pool and its single connection live only as long as the response and are not reused.
    parsed = urllib3.util.parse_url(url)
    pool = pool_class(parsed.host, parsed.port, maxsize=1, socket_options=CALL_SOCKET_OPTIONS)
    target = parsed.request_uri
    return pool.request(method, target, headers=headers | {"Connection": "close"}, **options)


def _target_at(url: urllib3.util.Url) -> TargetInfo:
    """Return a target of which only the address is known."""
    address = f"{url.host}:{url.port or _DEFAULT_PORTS[url.scheme]}"
    return TargetInfo(TargetId(address), ServiceName(""), address, ZoneId(""), slots=0)
