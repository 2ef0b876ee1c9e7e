"""A caller of the router that checks it got its own whole answer."""

import time
import uuid
from dataclasses import dataclass

import msgspec
import urllib3


@dataclass
class Outcome:
    """One call's result as the caller saw it.

    Attributes
    ----------
    tokens : int
        Tokens of the answer that carried this call's id, in order.
    ok : bool
        Whole answer, own tokens only, in order, ended by ``[DONE]``.
    status : int
    error : str
        The answer's error type, empty when none.
    first_token_s, total_s : float
        Seconds from sending to the first token and to the end.
    foreign : bool
        Whether the answer carried a token that is not the next one of this call.
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
    """Send one streamed chat completion and check its answer.

    Parameters
    ----------
    http : urllib3.PoolManager
    url : str
        Router (or engine) base URL.
    team : str
    max_tokens : int
    prompt : str
    req_id : str or None
        Request id to send; a new one by default.
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
    wall = time.time()
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
            req_id, team, 0, 0, False, type(exc).__name__, wall, 0.0, time.monotonic() - started
        )
    if resp.status != 200:
        data = resp.read()
        resp.release_conn()
        try:
            kind = msgspec.json.decode(data)["error"]["type"]
        except (msgspec.DecodeError, KeyError, TypeError):
            kind = f"status_{resp.status}"
        return Outcome(
            req_id,
            team,
            resp.status,
            0,
            False,
            kind,
            wall,
            0.0,
            time.monotonic() - started,
            resp.headers.get("Retry-After"),
        )
    return _read_stream(resp, req_id, team, max_tokens, started, wall)


def _read_stream(resp, req_id, team, max_tokens, started, wall) -> Outcome:
    buf = b""
    expected = 0
    ok = True
    foreign = False
    done = False
    first = 0.0
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
                doc = msgspec.json.decode(data)
                if "error" in doc:
                    error = doc["error"]["type"]
                    ok = False
                    continue
                content = doc["choices"][0]["delta"].get("content")
                if content is None:
                    continue
                if not first:
                    first = time.monotonic() - started
                if content != f"{req_id}:{expected} ":
                    foreign = True
                expected += 1
    except urllib3.exceptions.HTTPError as exc:
        ok, error = False, type(exc).__name__
    finally:
        resp.release_conn()
    whole = ok and done and not foreign and expected == max_tokens
    total = time.monotonic() - started
    return Outcome(req_id, team, 200, expected, whole, error, wall, first, total, foreign=foreign)
