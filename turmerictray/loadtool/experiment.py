"""Load experiments: backlogged teams on a set of routers, and the measured results.

Each team runs a fixed number of closed-loop callers. Each caller uses one router only, so that the
load can be skewed (one team on one router, another spread over all). During the run, the load of
the engines and the queues of the routers are sampled ten times per second.
"""

import random
import threading
import time
from dataclasses import dataclass, field

import msgspec
import urllib3

from turmerictray.loadtool.client import Outcome, call_stream
from turmerictray.loadtool.scrape import control_bytes

_SAMPLE_INTERVAL_S = 0.1
_CONTROL_SAMPLE_INTERVAL_S = 1.0


@dataclass
class TeamLoad:
    """The callers of one team.

    Attributes
    ----------
    name : str
    weight : float
        Weight in the configuration; service is divided by it.
    callers : int
        Number of closed-loop callers; more than the team's fair share of slots keeps it backlogged.
    routers : list of int
        Indexes of the routers that the callers are assigned to in turn.
    start_s : float
        Start of the callers, in seconds from the start of the run; a team that starts late
        competes with teams that have already received service.
    """

    name: str
    weight: float
    callers: int
    routers: list[int]
    start_s: float = 0.0


@dataclass
class Experiment:
    """Parameters of a load experiment."""

    router_urls: list[str]
    engine_urls: list[str]
    teams: list[TeamLoad]
    duration_s: float = 10.0
    warmup_s: float = 2.0
    max_tokens: int = 32
    seed: int = 1


@dataclass(frozen=True)
class Sample:
    """State of the run at one time in the measured window.

    Attributes
    ----------
    at_s : float
        Seconds from the start of the window.
    service : dict of str to float
        Tokens served so far per unit of weight, by team.
    utilisation : float
        Busy engine slots over all slots.
    queued : int
        Pending requests, summed over all routers.
    control_bytes : float
        Control bytes of all routers since the start of the run, both directions.
    """

    at_s: float
    service: dict[str, float]
    utilisation: float
    queued: int
    control_bytes: float


@dataclass
class Results:
    """Measured results of a run.

    Attributes
    ----------
    fairness_gap : float
        Difference between the largest and the smallest service (tokens / weight) of the backlogged
        teams in the measured window, as a fraction of the mean.
    gap_tokens : float
        The same gap in tokens per unit of weight.
    utilisation : float
        Busy engine slots over all slots, averaged over the samples with pending requests.
    waiting_samples : int
        Number of these samples.
    control_bytes_per_s : float
        Control traffic per router, sent plus received, in bytes per second.
    """

    outcomes: list[Outcome] = field(default_factory=list)
    service: dict[str, float] = field(default_factory=dict)
    fairness_gap: float = 0.0
    gap_tokens: float = 0.0
    utilisation: float = 0.0
    waiting_samples: int = 0
    control_bytes_per_s: float = 0.0
    complete_answers: int = 0
    incomplete_answers: int = 0
    refused: int = 0
    series: list[Sample] = field(default_factory=list)


def run_experiment(exp: Experiment) -> Results:
    """Run the load and measure the results.

    Returns
    -------
    Results
    """
    rng = random.Random(exp.seed)
    http = urllib3.PoolManager(maxsize=256, retries=False)
    results = Results()
    lock = threading.Lock()
    start = time.monotonic()
    stop_at = start + exp.warmup_s + exp.duration_s
    window = (start + exp.warmup_s, stop_at)
    served = {team.name: 0.0 for team in exp.teams}
    control_before = [control_bytes(url) for url in exp.router_urls]

    def caller(team: TeamLoad, router: str, delay: float) -> None:
        time.sleep(delay)
        while time.monotonic() < stop_at:
            out = call_stream(http, router, team.name, exp.max_tokens)
            end = time.monotonic()
            with lock:
                results.outcomes.append(out)
                if window[0] <= end <= window[1]:
                    served[team.name] += out.tokens
            if out.status != 200:
                time.sleep(min(1.0, float(out.retry_after or 0.2)))

    threads = []
    for team in exp.teams:
        for i in range(team.callers):
            router = exp.router_urls[team.routers[i % len(team.routers)]]
            thread = threading.Thread(
                target=caller,
                args=(team, router, team.start_s + rng.uniform(0, 0.2)),
                daemon=True,
            )
            threads.append(thread)
    for thread in threads:
        thread.start()
    busy, slots_seen = _sample_load(http, exp, stop_at, window, results, served, lock)
    for thread in threads:
        thread.join(timeout=60)
    elapsed = time.monotonic() - start
    control_after = [control_bytes(url) for url in exp.router_urls]
    results.control_bytes_per_s = sum(
        a - b for a, b in zip(control_after, control_before, strict=True)
    ) / (elapsed * len(exp.router_urls))
    results.utilisation = busy / slots_seen if slots_seen else 0.0
    weights = {team.name: team.weight for team in exp.teams}
    results.service = {name: served[name] / weights[name] for name in served}
    values = list(results.service.values())
    mean = sum(values) / len(values) if values else 0.0
    results.gap_tokens = max(values) - min(values) if values else 0.0
    results.fairness_gap = results.gap_tokens / mean if mean else 0.0
    results.complete_answers = sum(1 for o in results.outcomes if o.ok)
    results.incomplete_answers = sum(1 for o in results.outcomes if o.status == 200 and not o.ok)
    results.refused = sum(1 for o in results.outcomes if o.status != 200)
    return results


def _sample_load(http, exp: Experiment, stop_at: float, window, results: Results, served, lock):
    busy = 0.0
    slots_seen = 0.0
    control, control_at = 0.0, 0.0
    while time.monotonic() < stop_at:
        time.sleep(_SAMPLE_INTERVAL_S)
        now = time.monotonic()
        try:
            queued = sum(_get_json(http, url + "/status")["queued"] for url in exp.router_urls)
            stats = [_get_json(http, url + "/admin/stats") for url in exp.engine_urls]
            if now - control_at >= _CONTROL_SAMPLE_INTERVAL_S:
                control, control_at = sum(map(control_bytes, exp.router_urls)), now
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError, KeyError):
            continue
        if not window[0] <= now <= window[1]:
            continue
        running = sum(engine["running"] for engine in stats)
        slots = sum(engine["slots"] for engine in stats)
        with lock:
            service = {team.name: served[team.name] / team.weight for team in exp.teams}
        results.series.append(Sample(now - window[0], service, running / slots, queued, control))
        if queued > 0:
            busy += running
            slots_seen += slots
            results.waiting_samples += 1
    return busy, slots_seen


def _get_json(http: urllib3.PoolManager, url: str) -> dict:
    return msgspec.json.decode(http.request("GET", url, timeout=2.0).data)


def latency_ratio(
    router_url: str, engine_url: str, calls: int = 20, max_tokens: int = 8
) -> tuple[float, float, float]:
    """Compare the median time to the first token through the router and directly to an engine.

    Calls alternate between the two paths, so that both see the same machine load.

    Returns
    -------
    tuple of float
        ``(ratio, median via router in s, median direct in s)``.
    """
    http = urllib3.PoolManager(retries=False)
    routed, direct = [], []
    for _ in range(calls):
        routed.append(call_stream(http, router_url, "depot", max_tokens).first_token_s)
        direct.append(call_stream(http, engine_url, "depot", max_tokens).first_token_s)
    routed.sort()
    direct.sort()
    median_routed, median_direct = routed[len(routed) // 2], direct[len(direct) // 2]
    return (median_routed / median_direct if median_direct else 0.0), median_routed, median_direct
