"""Measurement of the cost of claiming order keys: latency, control bytes, processor time.

Routers claim the idempotency key of an order (a non-idempotent request) before they send it.
"""

import time
from dataclasses import dataclass
from statistics import median

import msgspec
import psutil
import urllib3

from turmerictray.loadtool.fleet_spec import FleetSpec
from turmerictray.loadtool.local import LocalFleet
from turmerictray.loadtool.scrape import control_bytes


@dataclass
class OrderCost:
    """Cost of claims at one fleet size.

    Attributes
    ----------
    latency_ratio : float
        Median time of an order with a key over that of one without, which needs no claim; batches
        of both kinds alternate in one run.
    bytes_per_order : float
        Claim bytes sent per order with a key, summed over all routers.
    cpu_s_per_order : float
        Additional processor seconds of an order with a key, summed over all routers.
    """

    latency_ratio: float = 0.0
    bytes_per_order: float = 0.0
    cpu_s_per_order: float = 0.0


def _sent_claim_bytes(fleet: LocalFleet) -> float:
    return sum(
        control_bytes(proc.url, channel="claims", direction="tx") for proc in fleet.routers()
    )


def _cpu_s(fleet: LocalFleet) -> float:
    return sum(sum(psutil.Process(p.popen.pid).cpu_times()[:2]) for p in fleet.routers())


def _time_order(http: urllib3.PoolManager, url: str, key: str | None) -> float:
    headers = {"X-Team": "depot"} | ({"Idempotency-Key": key} if key else {})
    started = time.monotonic()
    resp = http.request("POST", url + "/svc/orders/book", body=b"{}", headers=headers)
    if resp.status != 200:
        raise RuntimeError(f"order answered {resp.status}: {msgspec.json.decode(resp.data)}")
    return time.monotonic() - started


def _time_orders(http: urllib3.PoolManager, url: str, count: int, name: str | None) -> list[float]:
    return [_time_order(http, url, f"{name}-{i}" if name else None) for i in range(count)]


def measure_order_cost(routers: int = 6, rounds: int = 10, batch: int = 50) -> OrderCost:
    """Measure alternating batches of orders with and without keys, sent through one router.

    Parameters
    ----------
    routers : int
        Size of the fleet.
    rounds : int
        Number of batches of each kind.
    batch : int
        Orders per batch.

    Returns
    -------
    OrderCost
    """
    fleet = LocalFleet(FleetSpec(engines=1, services=1, routers=routers)).start()
    try:
        for proc in fleet.routers():
            fleet.wait_vouching(proc)
        url = fleet.routers()[0].url
        http = urllib3.PoolManager(retries=False)
        keyed, plain = [], []
        cpu = {"keyed": 0.0, "plain": 0.0}
        bytes_before = _sent_claim_bytes(fleet)
        for num in range(rounds):
            for kind, times in (("keyed", keyed), ("plain", plain)):
                before = _cpu_s(fleet)
                times += _time_orders(http, url, batch, f"cost{num}" if kind == "keyed" else None)
                cpu[kind] += _cpu_s(fleet) - before
        sent = _sent_claim_bytes(fleet) - bytes_before
    finally:
        fleet.stop()
    orders = rounds * batch
    return OrderCost(
        median(keyed) / median(plain), sent / orders, (cpu["keyed"] - cpu["plain"]) / orders
    )
