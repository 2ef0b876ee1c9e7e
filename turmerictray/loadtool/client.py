"""A client of the router that checks each answer for completeness and foreign tokens."""

import time
import uuid
from dataclasses import dataclass

import msgspec
import urllib3


@dataclass
class Outcome:
    """The result of one call as its caller observed it.

    Attributes
    ----------
    tokens : int
        Tokens received in the answer, foreign ones included.
    ok : bool
        Whether the answer is complete: ``max_tokens`` tokens of this call, in order, and then
        ``[DONE]``.
    status : int
        HTTP status; 0 when the call failed before any answer.
    error : str
        Error type of the answer, or class name of the connection error; empty when none.
    started : float
        Wall-clock time of sending, in seconds since the epoch.
    first_token_s, total_s : float
        Seconds from sending to the first token (0 when none came) and to the end.
    retry_after : str or None
        The ``Retry-After`` header of a refusal.
    foreign : bool
        Whether a token arrived that is not the next token of this call.
    """

    req_id: str
    team: str
    status: int
    tokens: int
    ok: bool
    error: str
    started: float
    first_token_s: float
    total_s: float
    retry_after: str | None = None
    foreign: bool = False


def call_stream(
    http: urllib3.PoolManager,
    url: str,
    team: str,
    max_tokens: int,
    prompt: str = "route plan for tricycle riders",
    req_id: str | None = None,
    timeout_s: float = 60.0,
) -> Outcome:
    """Send a streamed chat completion request and check its answer.

    Parameters
    ----------
    http : urllib3.PoolManager
    url : str
        Base URL of a router or an engine.
    team : str
    max_tokens : int
    prompt : str
    req_id : str or None
        Request id to send; random by default.
    timeout_s : float

    Returns
    -------
    Outcome
    """
    req_id = req_id or uuid.uuid4().hex
    body = msgspec.json.encode(
        {
            "model": "stand-in",
            "stream": True,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
    )
    started = time.monotonic()
    wall_start = time.time()
    try:
        resp = http.request(
            "POST",
            url + "/v1/chat/completions",
            body=body,
            headers={"Content-Type": "application/json", "X-Team": team, "X-Request-Id": req_id},
            preload_content=False,
            timeout=timeout_s,
        )
    except urllib3.exceptions.HTTPError as exc:
        return Outcome(
            req_id,
            team,
            0,
            0,
            False,
            type(exc).__name__,
            wall_start,
            0.0,
            time.monotonic() - started,
        )
    if resp.status != 200:
        data = resp.read()
        resp.release_conn()
        try:
            error_type = msgspec.json.decode(data)["error"]["type"]
        except (msgspec.DecodeError, KeyError, TypeError):
            error_type = f"status_{resp.status}"
        return Outcome(
            req_id,
            team,
            resp.status,
            0,
            False,
            error_type,
            wall_start,
            0.0,
            time.monotonic() - started,
            resp.headers.get("Retry-After"),
        )
    return _read_stream(resp, req_id, team, max_tokens, started, wall_start)


def _read_stream(resp, req_id, team, max_tokens, started, wall_start) -> Outcome:
    buf = b""
    expected = 0
    ok = True
    foreign = False
    done = False
    first_token_s = 0.0
    error = ""
    try:
        for chunk in resp.stream(4096):
            buf += chunk
            while b"\n\n" in buf:
                event, buf = buf.split(b"\n\n", 1)
                if not event.startswith(b"data: "):
                    continue
                data = event[6:]
                if data == b"[DONE]":
                    done = True
                    continue
                event_body = msgspec.json.decode(data)
                if "error" in event_body:
                    error = event_body["error"]["type"]
                    ok = False
                    continue
                content = event_body["choices"][0]["delta"].get("content")
                if content is None:
                    continue
                if not first_token_s:
                    first_token_s = time.monotonic() - started
                if content != f"{req_id}:{expected} ":
                    foreign = True
                expected += 1
    except urllib3.exceptions.HTTPError as exc:
        ok, error = False, type(exc).__name__
    finally:
        resp.release_conn()
    complete = ok and done and not foreign and expected == max_tokens
    total = time.monotonic() - started
    return Outcome(
        req_id,
        team,
        200,
        expected,
        complete,
        error,
        wall_start,
        first_token_s,
        total,
        foreign=foreign,
    )
