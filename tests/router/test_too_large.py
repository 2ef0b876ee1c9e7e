"""Requests that are larger than the memory of any engine of their service."""

from types import SimpleNamespace

import pytest

from tests.router.test_front_capacity import FakeExchange, FakeRun
from turmerictray.config.routes import (
    Backend,
    EngineSpec,
    Route,
    RouteKind,
    RoutingConfig,
    ServiceSpec,
)
from turmerictray.core.ids import RequestId, ServiceName
from turmerictray.router.dialect import Envelope
from turmerictray.router.flow import RequestFlow
from turmerictray.router.run import RequestDependencies
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.transport.disconnect import DisconnectMonitor

LLM = ServiceName("llm")
MEMORY_TOKENS = 1000


def answer_to(
    monkeypatch, engine: EngineSpec | None, input_tokens: int, output_tokens: int = 0
) -> tuple[int, list[float]]:
    """Return the status of the answer to a prompt and the retry delays that it announces."""
    prompt = Prompt((PromptPart(PartId("p"), input_tokens),), input_tokens, output_tokens)
    route = Route("r", "h", "/", RouteKind.STREAMING, (Backend(LLM),), 1.0, 0.5)
    config = RoutingConfig(1, (route,), {LLM: ServiceSpec(LLM, engine)})
    waits = []
    dialect = SimpleNamespace(
        read=lambda head: Envelope(RequestId("r"), None, 0.5, prompt, []),
        retry_after=lambda wait_s: waits.append(wait_s) or ("Retry-After", "1"),
    )
    monkeypatch.setattr("turmerictray.router.flow.RequestRun", FakeRun)
    deps = RequestDependencies(placement_client=None, dialect=dialect, pool=None)
    active_config = SimpleNamespace(current=config, caught_up=True, newest_heard=0, regions={})
    exchange = FakeExchange("/prompt")
    RequestFlow(deps, active_config, DisconnectMonitor(), threads=20).handle(exchange)
    return exchange.status, waits


def test_prompt_larger_than_any_engine_is_refused_before_it_is_sent(monkeypatch):
    """Guards against a request that every engine refuses as full, and that each then rests for."""
    status, (wait_s,) = answer_to(monkeypatch, EngineSpec(8, MEMORY_TOKENS), MEMORY_TOKENS + 1)
    assert status == 503
    assert wait_s > 60


@pytest.mark.parametrize(
    ("engine", "input_tokens", "output_tokens"),
    [
        (EngineSpec(8, MEMORY_TOKENS), MEMORY_TOKENS, 0),
        # The limit on its output may be far more than the request generates.
        (EngineSpec(8, MEMORY_TOKENS), MEMORY_TOKENS, MEMORY_TOKENS),
        (EngineSpec(8, 0), MEMORY_TOKENS, 0),
        (EngineSpec(8, -1), MEMORY_TOKENS, 0),
        (None, MEMORY_TOKENS, 0),
    ],
)
def test_prompt_that_may_fit_an_engine_is_served(monkeypatch, engine, input_tokens, output_tokens):
    """Guards against a refusal of what an engine might have run."""
    assert answer_to(monkeypatch, engine, input_tokens, output_tokens) == (200, [])
