"""The emulated model engine: OpenAI-style completions, streamed as server-sent events.

Requests take slots in order of arrival. A request first takes the time to prefill the prompt tokens
that are not in the prefix cache, then decodes ``max_tokens`` tokens at the rate of a slot. The text
of token ``i`` of request ``r`` is ``"<r>:<i> "``, so that callers can check that their answer is
complete, in order and without tokens of other requests.

Calls
-----
``POST /v1/chat/completions``, ``POST /v1/completions``
    Answers carry ``X-Load-Busy`` (running + waiting requests) and ``X-Load-Age`` (its age in s).
``GET /load``
    ``{"running", "waiting", "age_s"}``, at least ``load_lag_s`` (a setting) seconds old.
``POST /v1/cancel/<id>``
    Cancels a running or waiting request; 404 when it is not running.
``POST /admin/order``
    ``{"fence": n, "action": "set_models", "models": [...]}``; refused with 409 when fencing is
    checked and ``n`` is lower than the highest number received.
``GET /admin/models``
    ``{"models": [...], "fence": n}``: the loaded models and the highest fencing number received.
``POST /admin/fault``
    ``{"mode": "slow|fail|hang|reset|not_run|none", "count": n}`` for the next ``n`` requests.
``GET /admin/stats``
    Executions per request id, tokens per team, busy slot-seconds.
"""

import hashlib
import time
import uuid

import msgspec

from turmerictray.config.settings import EngineSettings
from turmerictray.core.logs import log_event
from turmerictray.standins import batcher as batching
from turmerictray.standins.web import (
    AbortAnswer,
    Call,
    Reply,
    WebApp,
    broken_reply,
    json_reply,
)

_CHARS_PER_TOKEN = 4
_HANG_TIMEOUT_S = 3600.0
_SLOW_FACTOR = 10.0
_RESET_AFTER_TOKENS = 3


class _CompletionRequest(msgspec.Struct):
    model: str = "stand-in"
    messages: list[dict] | None = None
    prompt: str | None = None
    max_tokens: int = 16
    stream: bool = False


class Engine:
    """HTTP handlers of the emulated engine.

    The slots, the queue and the prefix cache belong to its
    :class:`~turmerictray.standins.batcher.Batcher`.
    """

    def __init__(self, cfg: EngineSettings) -> None:
        self.cfg = cfg
        self.batcher = batching.Batcher.start(
            cfg.slots, cfg.prefix_cache_entries, cfg.load_lag_s, cfg.check_fencing
        )
        self.app = WebApp()
        self.app.route("POST", "/v1/chat/completions", self.complete)
        self.app.route("POST", "/v1/completions", self.complete)
        self.app.route("POST", "/v1/cancel/", self.cancel)
        self.app.route("GET", "/load", self.load)
        self.app.route("POST", "/admin/order", self.order)
        self.app.route("GET", "/admin/models", self.models)
        self.app.route("POST", "/admin/fault", self.set_fault)
        self.app.route("GET", "/admin/stats", self.stats)

    def stop(self) -> None:
        """Stop the batcher actor."""
        self.batcher.stop()

    def _load_headers(self) -> list[tuple[str, str]]:
        running, waiting, age = self.batcher.ask(batching.LoadQuery())
        return [("X-Load-Busy", str(running + waiting)), ("X-Load-Age", f"{age:.3f}")]

    def complete(self, call: Call) -> Reply:
        """Answer a completion request."""
        body = msgspec.json.decode(call.body, type=_CompletionRequest)
        req_id = call.headers.get("x-request-id") or uuid.uuid4().hex
        team = call.headers.get("x-team", "-")
        text = body.prompt or " ".join(str(m.get("content", "")) for m in body.messages or [])
        prompt_tokens = max(1, len(text) // _CHARS_PER_TOKEN)
        prefix_key = hashlib.blake2b(text[:256].encode(), digest_size=8).hexdigest()
        admission = batching.Admit(req_id, prefix_key, prompt_tokens)
        self.batcher.tell(admission)
        slot: batching.Slot = admission.reply.result()
        log_event(
            "engine_admit",
            req=req_id,
            team=team,
            router=call.headers.get("x-router"),
            fault=slot.fault.value,
            cached=slot.cached_tokens,
        )
        if slot.fault is batching.Fault.NOT_RUN:
            self._release(slot, team, 0, 0.0)
            return json_reply({"error": {"type": "busy"}}, 503, [("X-Not-Run", "1")])
        if slot.fault is batching.Fault.FAIL:
            self._release(slot, team, 0, 0.0)
            return json_reply({"error": {"type": "engine_failed"}}, 500)
        tokens = self._decode(body, req_id, prompt_tokens - slot.cached_tokens, slot)
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": body.max_tokens,
            "total_tokens": prompt_tokens + body.max_tokens,
        }
        load = self._load_headers()
        if body.stream:
            return Reply(
                200,
                self._stream_events(tokens, req_id, body.model, usage, slot, team),
                load,
                "text/event-stream",
            )
        started = time.monotonic()
        try:
            content = "".join(tokens)
        except AbortAnswer:
            self._release(slot, team, 0, time.monotonic() - started)
            return broken_reply()
        self._release(slot, team, usage["total_tokens"], time.monotonic() - started)
        return json_reply(
            {
                "id": req_id,
                "object": "chat.completion",
                "model": body.model,
                "choices": [{"index": 0, "message": {"role": "assistant", "content": content}}],
                "usage": usage,
            },
            200,
            load,
        )

    def _decode(self, body: _CompletionRequest, req_id: str, uncached: int, slot: batching.Slot):
        token_interval_s = 1.0 / self.cfg.tokens_per_s
        if slot.fault is batching.Fault.SLOW:
            token_interval_s *= _SLOW_FACTOR
        time.sleep(max(0, uncached) / self.cfg.prefill_tokens_per_s)
        for i in range(body.max_tokens):
            if slot.cancel.is_set():
                log_event("engine_cancelled", req=req_id, at=i)
                return
            if slot.fault is batching.Fault.HANG:
                slot.cancel.wait(_HANG_TIMEOUT_S)
                return
            if slot.fault is batching.Fault.RESET and i == _RESET_AFTER_TOKENS:
                log_event("engine_reset", req=req_id, at=i)
                raise AbortAnswer(req_id)
            time.sleep(token_interval_s)
            yield f"{req_id}:{i} "

    def _stream_events(
        self, tokens, req_id: str, model: str, usage: dict, slot: batching.Slot, team: str
    ):
        started = time.monotonic()
        sent = 0
        try:
            for token in tokens:
                chunk = {
                    "id": req_id,
                    "object": "chat.completion.chunk",
                    "model": model,
                    "choices": [{"index": 0, "delta": {"content": token}}],
                }
                yield b"data: " + msgspec.json.encode(chunk) + b"\n\n"
                sent += 1
            final = {
                "id": req_id,
                "object": "chat.completion.chunk",
                "model": model,
                "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
                "usage": usage,
            }
            yield b"data: " + msgspec.json.encode(final) + b"\n\n"
            yield b"data: [DONE]\n\n"
        finally:
            self._release(slot, team, sent + usage["prompt_tokens"], time.monotonic() - started)

    def _release(self, slot: batching.Slot, team: str, tokens: int, busy_s: float) -> None:
        self.batcher.tell(batching.Release(slot.req_id, team, tokens, busy_s))

    def cancel(self, call: Call) -> Reply:
        """Answer ``POST /v1/cancel/<id>``."""
        req_id = call.path.rsplit("/", 1)[-1]
        found = self.batcher.ask(batching.Cancel(req_id))
        return json_reply({"cancelled": bool(found)}, 200 if found else 404)

    def load(self, call: Call) -> Reply:
        """Answer ``GET /load``."""
        running, waiting, age = self.batcher.ask(batching.LoadQuery())
        return json_reply({"running": running, "waiting": waiting, "age_s": round(age, 3)})

    def order(self, call: Call) -> Reply:
        """Answer ``POST /admin/order``."""
        doc = call.json()
        models = [str(name) for name in doc.get("models", [])]
        ok, fence = self.batcher.ask(batching.Order(int(doc["fence"]), str(doc["action"]), models))
        log_event(
            "engine_order",
            fence=doc["fence"],
            action=doc["action"],
            models=",".join(models),
            accepted=ok,
            router=call.headers.get("x-router"),
        )
        if not ok:
            return json_reply({"error": {"type": "stale_fence", "fence": fence}}, 409)
        return json_reply({"accepted": True, "fence": fence})

    def models(self, call: Call) -> Reply:
        """Answer ``GET /admin/models``."""
        models, fence = self.batcher.ask(batching.ModelsQuery())
        return json_reply({"models": models, "fence": fence})

    def set_fault(self, call: Call) -> Reply:
        """Answer ``POST /admin/fault``."""
        doc = call.json()
        self.batcher.tell(batching.SetFault(batching.Fault(doc["mode"]), int(doc.get("count", -1))))
        return json_reply({"fault": doc["mode"]})

    def stats(self, call: Call) -> Reply:
        """Answer ``GET /admin/stats``."""
        return json_reply(self.batcher.ask(batching.StatsQuery()))
