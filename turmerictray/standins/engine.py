"""The model engine stand-in: OpenAI-style completions, streamed by server-sent events.

Each request takes a slot in arrival order, pays prefill for prompt tokens not in the prefix
cache, then decodes ``max_tokens`` tokens at the slot's rate. Token ``i`` of request ``r`` reads
``"<r>:<i> "``, so a caller can check that it got its own whole answer in order.

Calls
-----
``POST /v1/chat/completions``, ``POST /v1/completions``
    Answers carry ``X-Load-Busy`` (lagged running + waiting).
``GET /load``
    ``{"running", "waiting", "age_s"}``, as old as the ``load_lag_s`` setting.
``POST /v1/cancel/<id>``
    Stops a running request.
``POST /admin/order``
    ``{"fence": n, "action": "set_models", "models": [...]}``; refused with 409 when fencing is
    checked and ``n`` is lower than a number already seen.
``GET /admin/models``
    ``{"models": [...], "fence": n}``: what is loaded, and the highest number seen.
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
from turmerictray.standins import batcher as b
from turmerictray.standins.web import (
    AbortAnswer,
    Call,
    Reply,
    WebApp,
    broken_reply,
    json_reply,
)

_CHARS_PER_TOKEN = 4
_HANG_S = 3600.0
_SLOW_FACTOR = 10.0
_RESET_AFTER_TOKENS = 3


class _Body(msgspec.Struct):
    model: str = "stand-in"
    messages: list[dict] | None = None
    prompt: str | None = None
    max_tokens: int = 16
    stream: bool = False


class Engine:
    """The engine's HTTP handlers around a :class:`~turmerictray.standins.batcher.Batcher`."""

    def __init__(self, cfg: EngineSettings) -> None:
        self.cfg = cfg
        self.batcher = b.Batcher.start(
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
        running, waiting, age = self.batcher.ask(b.LoadQuery())
        return [("X-Load-Busy", str(running + waiting)), ("X-Load-Age", f"{age:.3f}")]

    def complete(self, call: Call) -> Reply:
        body = msgspec.json.decode(call.body, type=_Body)
        req_id = call.headers.get("x-request-id") or uuid.uuid4().hex
        team = call.headers.get("x-team", "-")
        text = body.prompt or " ".join(str(m.get("content", "")) for m in body.messages or [])
        prompt_tokens = max(1, len(text) // _CHARS_PER_TOKEN)
        prefix_key = hashlib.blake2b(text[:256].encode(), digest_size=8).hexdigest()
        adm = b.Admit(req_id, prefix_key, prompt_tokens)
        self.batcher.tell(adm)
        slot: b.Slot = adm.reply.result()
        log_event(
            "engine_admit",
            req=req_id,
            team=team,
            router=call.headers.get("x-router"),
            fault=slot.fault.value,
            cached=slot.cached_tokens,
        )
        if slot.fault is b.Fault.NOT_RUN:
            self._release(slot, team, 0, 0.0)
            return json_reply({"error": {"type": "busy"}}, 503, [("X-Not-Run", "1")])
        if slot.fault is b.Fault.FAIL:
            self._release(slot, team, 0, 0.0)
            return json_reply({"error": {"type": "engine_failed"}}, 500)
        tokens = self._tokens(body, req_id, prompt_tokens - slot.cached_tokens, slot)
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": body.max_tokens,
            "total_tokens": prompt_tokens + body.max_tokens,
        }
        load = self._load_headers()
        if body.stream:
            return Reply(
                200,
                self._sse(tokens, req_id, body.model, usage, slot, team),
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

    def _tokens(self, body: _Body, req_id: str, uncached: int, slot: b.Slot):
        step = 1.0 / self.cfg.tokens_per_s
        if slot.fault is b.Fault.SLOW:
            step *= _SLOW_FACTOR
        time.sleep(max(0, uncached) / self.cfg.prefill_tokens_per_s)
        for i in range(body.max_tokens):
            if slot.cancel.is_set():
                log_event("engine_cancelled", req=req_id, at=i)
                return
            if slot.fault is b.Fault.HANG:
                slot.cancel.wait(_HANG_S)
                return
            if slot.fault is b.Fault.RESET and i == _RESET_AFTER_TOKENS:
                log_event("engine_reset", req=req_id, at=i)
                raise AbortAnswer(req_id)
            time.sleep(step)
            yield f"{req_id}:{i} "

    def _sse(self, tokens, req_id: str, model: str, usage: dict, slot: b.Slot, team: str):
        started = time.monotonic()
        sent = 0
        try:
            for tok in tokens:
                chunk = {
                    "id": req_id,
                    "object": "chat.completion.chunk",
                    "model": model,
                    "choices": [{"index": 0, "delta": {"content": tok}}],
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

    def _release(self, slot: b.Slot, team: str, tokens: int, busy_s: float) -> None:
        self.batcher.tell(b.Release(slot.req_id, team, tokens, busy_s))

    def cancel(self, call: Call) -> Reply:
        req_id = call.path.rsplit("/", 1)[-1]
        found = self.batcher.ask(b.Cancel(req_id))
        return json_reply({"cancelled": bool(found)}, 200 if found else 404)

    def load(self, call: Call) -> Reply:
        running, waiting, age = self.batcher.ask(b.LoadQuery())
        return json_reply({"running": running, "waiting": waiting, "age_s": round(age, 3)})

    def order(self, call: Call) -> Reply:
        doc = call.json()
        models = [str(name) for name in doc.get("models", [])]
        ok, fence = self.batcher.ask(b.Order(int(doc["fence"]), str(doc["action"]), models))
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
        models, fence = self.batcher.ask(b.ModelsQuery())
        return json_reply({"models": models, "fence": fence})

    def set_fault(self, call: Call) -> Reply:
        doc = call.json()
        self.batcher.tell(b.SetFault(b.Fault(doc["mode"]), int(doc.get("count", -1))))
        return json_reply({"fault": doc["mode"]})

    def stats(self, call: Call) -> Reply:
        return json_reply(self.batcher.ask(b.StatsQuery()))
