"""Calls to targets over HTTP, with failures sorted by whether the target may have acted.

urllib3 raises many kinds of error; what matters to the caller is one question: could any byte
of the request have reached the target? A failure to connect means no; anything later means
maybe. :class:`NotSent` and :class:`OutcomeUnknown` carry that answer up.
"""

from collections.abc import Iterator

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from turmerictray.core.errors import NotSent, OutcomeUnknown, UpstreamRefused

_STREAM_CHUNK = 4096


class Upstream:
    """A connection pool to all targets, owned by one router.

    Parameters
    ----------
    maxsize : int
        Connections kept per target.
    """

    def __init__(self, maxsize: int = 64) -> None:
        self._pool = urllib3.PoolManager(num_pools=256, maxsize=maxsize, block=False, retries=False)

    def open(
        self,
        url: str,
        body: bytes,
        headers: dict[str, str],
        connect_s: float,
        read_s: float,
        idempotent: bool = True,
    ) -> urllib3.BaseHTTPResponse:
        """Send a POST and return the response with its body still to be read.

        Parameters
        ----------
        url : str
            Full target URL.
        body : bytes
            Request body.
        headers : dict
            Request headers.
        connect_s, read_s : float
            Connect and read timeouts, in seconds.
        idempotent : bool
            A call that is not goes over a connection of its own.

        Returns
        -------
        urllib3.BaseHTTPResponse
            With ``preload_content=False``; the caller reads and releases it.

        Raises
        ------
        NotSent
            The connection could not be made; nothing reached the target.
        OutcomeUnknown
            The connection broke or timed out after the request may have been sent.
        UpstreamRefused
            The target answered 503 with ``X-Not-Run: 1``: it refused before doing any work.
        """
        # A target may close a kept connection just as the next call is written to it. That call
        # may be repeated if it is idempotent; an order would end as "outcome unknown" although
        # it never ran, so it goes over a connection of its own.
        send = self._pool.request if idempotent else _request_alone
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
            data = resp.read()
            resp.release_conn()
            raise UpstreamRefused(resp.status, data)
        return resp

    def stream(self, resp: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
        """Yield the body of ``resp`` as it arrives.

        Raises
        ------
        OutcomeUnknown
            The stream broke before its end.
        """
        try:
            yield from resp.stream(_STREAM_CHUNK, decode_content=False)
        except HTTPError as exc:
            raise OutcomeUnknown(f"stream broke: {exc}") from exc
        finally:
            resp.release_conn()

    def close(self) -> None:
        """Close every pooled connection."""
        self._pool.clear()


def _request_alone(method: str, url: str, headers: dict[str, str], **options):
    # The pool and its one connection live as long as the response, so nothing is reused.
    pool = urllib3.connection_from_url(url, maxsize=1)
    target = urllib3.util.parse_url(url).request_uri
    return pool.request(method, target, headers=headers | {"Connection": "close"}, **options)
