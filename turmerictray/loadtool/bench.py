"""The capacity bench: how a router's costs grow, measured on small local fleets.

Each measurement varies one size (teams in a heartbeat, peers, requests) and records what a router
uses: heartbeat bytes, control bytes per second, processor seconds, resident memory.
``docs/CAPACITY.md`` extrapolates from the fitted slopes to the intended fleet size.
"""

import json
import threading
import time
import tracemalloc
from dataclasses import asdict, dataclass, field
from datetime import datetime
from pathlib import Path

import psutil
import urllib3

from turmerictray.core.ids import NodeId, TeamId
from turmerictray.fairness.ledger import PeerCounters, UsageLedger
from turmerictray.fairness.shares import ShareTable
from turmerictray.fairness.slot_allocation import SlotCount, allocate_slots
from turmerictray.loadtool.client import call_stream
from turmerictray.loadtool.fleet_spec import FleetSpec
from turmerictray.loadtool.local import LocalFleet
from turmerictray.loadtool.log_cost import LogCost, measure_log_cost
from turmerictray.loadtool.order_cost import OrderCost, measure_order_cost
from turmerictray.loadtool.scrape import control_bytes
from turmerictray.router.peers import _ENCODER, Heartbeat


@dataclass
class BenchResults:
    """Measured points and the slopes fitted to them."""

    beat_bytes: dict[int, int] = field(default_factory=dict)
    beat_bytes_per_team: float = 0.0
    ledger_bytes: dict[int, int] = field(default_factory=dict)
    ledger_bytes_per_team: float = 0.0
    idle: dict[int, dict] = field(default_factory=dict)
    control_bytes_per_peer_s: float = 0.0
    cpu_s_per_request: float = 0.0
    cpu_by_tokens: dict[int, float] = field(default_factory=dict)
    cpu_s_per_token: float = 0.0
    requests_per_s: float = 0.0
    router_rss_mb: float = 0.0
    idle_cpu_core_fraction: float = 0.0
    config_in_force_s: list[float] = field(default_factory=list)
    leaving_stop_s: float = 0.0
    split_ms: dict[str, float] = field(default_factory=dict)
    order_cost: dict[int, OrderCost] = field(default_factory=dict)
    log_cost: LogCost | None = None


def _slope(points: dict[int, float]) -> float:
    xs, ys = list(points), list(points.values())
    count = len(xs)
    mean_x, mean_y = sum(xs) / count, sum(ys) / count
    squares_sum = sum((x - mean_x) ** 2 for x in xs)
    return (
        sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / squares_sum
        if squares_sum
        else 0.0
    )


def heartbeat_size(teams: int) -> int:
    """Return the bytes of a full heartbeat with ``teams`` counters and as many backlog entries."""
    counters = {f"team-{i:05d}": 123456.0 + i for i in range(teams)}
    demand = {"llm": {f"team-{i:05d}": 7 for i in range(teams)}}
    heartbeat = Heartbeat(
        "router-123",
        "halle-ansbach",
        99999,
        1700,
        PeerCounters("router-123", time.time_ns(), counters),
        True,
        demand,
    )
    return len(_ENCODER.encode(heartbeat))


def ledger_memory_bytes(teams: int, peers: int = 8) -> int:
    """Return the memory of ledger and share table for ``teams`` teams and ``peers`` peers."""
    tracemalloc.start()
    base = tracemalloc.get_traced_memory()[0]
    ledger = UsageLedger(NodeId("r0"))
    shares = ShareTable(NodeId("r0"), 3.0)
    names = [f"team-{i:05d}" for i in range(teams)]
    for name in names:
        ledger.settle(TeamId(name), 10.0, 12.0)
    for p in range(peers):
        ledger.merge(PeerCounters(f"r{p + 1}", 1, {n: 5.0 for n in names}))
        shares.update(f"r{p + 1}", {n: 1 for n in names}, now=0.0)
    used = tracemalloc.get_traced_memory()[0] - base
    tracemalloc.stop()
    return used


def measure_split_ms(routers: int, targets: int, repeat: int = 20) -> float:
    """Return the milliseconds to split ``targets`` among ``routers`` backlogged routers once."""
    shares = {f"r{i:03d}": 1 / routers for i in range(routers)}
    slots = [SlotCount(f"t{i:03d}", 64) for i in range(targets)]
    start = time.perf_counter()
    for _ in range(repeat):
        allocate_slots("r001", shares, slots)
    return (time.perf_counter() - start) / repeat * 1000


def _router_procs(fleet: LocalFleet) -> list[psutil.Process]:
    return [psutil.Process(p.popen.pid) for p in fleet.routers()]


def measure_idle_control(routers: int, seconds: float) -> dict:
    """Measure control bytes/s, processor fraction and memory per router of an idle fleet."""
    fleet = LocalFleet(FleetSpec(engines=1, services=0, routers=routers)).start()
    try:
        time.sleep(1.0)
        procs = _router_procs(fleet)
        cpu0 = [sum(p.cpu_times()[:2]) for p in procs]
        bytes0 = [control_bytes(p.url) for p in fleet.routers()]
        time.sleep(seconds)
        cpu1 = [sum(p.cpu_times()[:2]) for p in procs]
        bytes1 = [control_bytes(p.url) for p in fleet.routers()]
        rss = max(p.memory_info().rss for p in procs) / 2**20
    finally:
        fleet.stop()
    return {
        "bytes_per_s": sum(b - a for a, b in zip(bytes0, bytes1, strict=True))
        / (routers * seconds),
        "cpu_fraction": sum(b - a for a, b in zip(cpu0, cpu1, strict=True)) / (routers * seconds),
        "rss_mb": rss,
    }


def measure_request_cost(
    seconds: float, tokens: int = 16, callers: int = 16
) -> tuple[float, float, float]:
    """Measure the processor seconds of a router per request of ``tokens`` tokens under load.

    Returns
    -------
    tuple of float
        ``(cpu s per request, requests per s, router RSS in MB)``; the processor time of an idle
        router, measured for 2 s before the load, is subtracted.
    """
    fleet = LocalFleet(
        FleetSpec(engines=2, engine_slots=8, services=0, routers=1, tokens_per_s=2000.0)
    ).start()
    count = [0]
    lock = threading.Lock()
    try:
        proc = _router_procs(fleet)[0]
        url = fleet.routers()[0].url
        idle0 = sum(proc.cpu_times()[:2])
        time.sleep(2.0)
        idle_rate = (sum(proc.cpu_times()[:2]) - idle0) / 2.0
        stop_at = time.monotonic() + seconds

        def caller() -> None:
            http = urllib3.PoolManager(retries=False)
            while time.monotonic() < stop_at:
                if call_stream(http, url, "depot", tokens).ok:
                    with lock:
                        count[0] += 1

        cpu0 = sum(proc.cpu_times()[:2])
        threads = [threading.Thread(target=caller) for _ in range(callers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(seconds + 30)
        cpu = sum(proc.cpu_times()[:2]) - cpu0 - idle_rate * seconds
        rss = proc.memory_info().rss / 2**20
    finally:
        fleet.stop()
    return cpu / max(1, count[0]), count[0] / seconds, rss


def measure_config_propagation(routers: int = 4, changes: int = 5) -> list[float]:
    """Measure the seconds from publishing a configuration until every router has it active."""
    fleet = LocalFleet(FleetSpec(engines=1, services=0, routers=routers)).start()
    times = []
    try:
        for i in range(changes):
            text = dict(fleet.config, limits={**fleet.config["limits"], "retry_after_s": 1.0 + i})
            start = time.monotonic()
            version = fleet.post_json("config", "/admin/publish", text)["version"]
            while any(
                fleet.get_json(p.name, "/status")["config_version"] < version
                for p in fleet.routers()
            ):
                time.sleep(0.005)
            times.append(time.monotonic() - start)
    finally:
        fleet.stop()
    return times


def measure_drain_delay(routers: int = 4, load_duration_s: float = 5.0) -> float:
    """Measure the seconds from marking an engine as leaving until it admits its last request.

    The fleet is under load. Its instance list lags by 0.5 s and is polled every 0.5 s.
    """
    fleet = LocalFleet(FleetSpec(engines=2, services=0, routers=routers)).start()
    stop = threading.Event()

    def caller(url: str) -> None:
        http = urllib3.PoolManager(retries=False)
        while not stop.is_set():
            call_stream(http, url, "depot", 10)

    try:
        # Each router has more callers than one engine has slots, so that both engines get requests.
        threads = [threading.Thread(target=caller, args=(p.url,)) for p in fleet.routers() * 6]
        for thread in threads:
            thread.start()
        time.sleep(2.0)
        marked_at = time.time()
        fleet.post_json("instances", "/admin/set", {"id": "engine-0", "state": "leaving"})
        time.sleep(load_duration_s)
        stop.set()
        for thread in threads:
            thread.join(30)
        log = (fleet.dir / "engine-0.log").read_text().splitlines()
    finally:
        stop.set()
        fleet.stop()
    last = next(line for line in reversed(log) if "event=engine_admit" in line)
    stamp = last.split("ts=", 1)[1].split(" ", 1)[0]
    return datetime.fromisoformat(stamp).timestamp() - marked_at


def run_bench(seconds: float = 5.0, peer_sizes: tuple[int, ...] = (2, 4, 6)) -> BenchResults:
    """Run all measurements.

    This takes about ``len(peer_sizes) * (seconds + 4) + seconds + 8`` seconds.
    """
    res = BenchResults()
    for teams in (10, 100, 1000, 5800):
        res.beat_bytes[teams] = heartbeat_size(teams)
        res.ledger_bytes[teams] = ledger_memory_bytes(teams)
    res.beat_bytes_per_team = _slope(res.beat_bytes)
    res.ledger_bytes_per_team = _slope(res.ledger_bytes)
    for routers in peer_sizes:
        res.idle[routers] = measure_idle_control(routers, seconds)
    res.control_bytes_per_peer_s = _slope({n - 1: v["bytes_per_s"] for n, v in res.idle.items()})
    res.idle_cpu_core_fraction = max(v["cpu_fraction"] for v in res.idle.values())
    for tokens in (16, 64):
        cpu, rate, rss = measure_request_cost(seconds, tokens)
        res.cpu_by_tokens[tokens] = cpu
        if tokens == 16:
            res.cpu_s_per_request, res.requests_per_s, res.router_rss_mb = cpu, rate, rss
    res.cpu_s_per_token = _slope(res.cpu_by_tokens)
    res.config_in_force_s = measure_config_propagation()
    res.leaving_stop_s = measure_drain_delay()
    for routers, targets in ((8, 13), (50, 100), (390, 600)):
        res.split_ms[f"{routers}x{targets}"] = measure_split_ms(routers, targets)
    for routers in (3, 6):
        res.order_cost[routers] = measure_order_cost(routers)
    res.log_cost = measure_log_cost()
    return res


def format_bench(res: BenchResults) -> str:
    """Format the results as a short table."""
    rows = [
        "heartbeat bytes by teams: "
        + ", ".join(f"{k}={v}" for k, v in res.beat_bytes.items())
        + f" -> {res.beat_bytes_per_team:.1f} B/team",
        "ledger + share table bytes by teams (8 peers): "
        + ", ".join(f"{k}={v}" for k, v in res.ledger_bytes.items())
        + f" -> {res.ledger_bytes_per_team:.0f} B/team",
        "idle control per router by fleet size: "
        + ", ".join(
            f"{k}: {v['bytes_per_s']:.0f} B/s cpu {v['cpu_fraction']:.4f} "
            f"rss {v['rss_mb']:.0f} MB"
            for k, v in res.idle.items()
        )
        + f" -> {res.control_bytes_per_peer_s:.0f} B/s per peer",
        f"router cpu per request: {res.cpu_s_per_request * 1000:.2f} ms "
        f"(16 tokens) at {res.requests_per_s:.0f} req/s, rss {res.router_rss_mb:.0f} MB; "
        + ", ".join(f"{k} tokens={v * 1000:.2f} ms" for k, v in res.cpu_by_tokens.items())
        + f" -> {res.cpu_s_per_token * 1e6:.1f} us/token",
        "configuration change in force on all 4 routers: "
        + ", ".join(f"{t * 1000:.0f} ms" for t in res.config_in_force_s),
        f"leaving engine's last request: {res.leaving_stop_s:.2f} s after the mark",
        "slot split by routers x targets: "
        + ", ".join(f"{size}={ms:.2f} ms" for size, ms in res.split_ms.items()),
        "order with a key, by routers: "
        + ", ".join(
            f"{n}: {cost.latency_ratio:.2f}x the time of one without, "
            f"{cost.bytes_per_order:.0f} claim bytes, {cost.cpu_s_per_order * 1000:.2f} ms cpu"
            for n, cost in res.order_cost.items()
        ),
    ]
    if res.log_cost is not None:
        rows.append(
            f"log line of a request: {res.log_cost.line_s * 1e6:.0f} us cpu; "
            f"at most {res.log_cost.most_lines_per_s} a second, "
            f"{res.log_cost.max_core_fraction:.3f} of a core"
        )
    return "\n".join(rows)


def save_bench(res: BenchResults, path: str) -> None:
    """Write the results to ``path`` as JSON."""
    target = Path(path)
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_text(json.dumps(asdict(res), indent=2))
