"""The ``demo`` command: a small local fleet under a short mixed load."""

import json
import signal
import time

from turmerictray.loadtool.experiment import Experiment, TeamLoad, latency_ratio, run_experiment
from turmerictray.loadtool.fleet_spec import FleetSpec
from turmerictray.loadtool.local import LocalFleet
from turmerictray.loadtool.report import format_results


def run_demo(
    routers: int = 2,
    engines: int = 2,
    duration_s: float = 8.0,
    seed: int = 1,
    workdir: str | None = None,
) -> dict:
    """Start stand-ins and routers, run a mixed load of three teams and print the results.

    Team ``depot`` (weight 2) sends only to the first router; ``riders`` and ``kiosks``
    (weight 1 each) are spread over all routers.

    Returns
    -------
    dict
        The printed results.
    """
    spec = FleetSpec(
        engines=engines, routers=routers, teams={"depot": 2.0, "riders": 1.0, "kiosks": 1.0}
    )
    fleet = LocalFleet(spec, workdir)
    print(
        f"starting {engines} engines, 1 plain service, config service, instance list, "
        f"{routers} routers in {fleet.dir}"
    )
    fleet.start()
    try:
        urls = [p.url for p in fleet.routers()]
        all_routers = list(range(routers))
        experiment = Experiment(
            urls,
            [p.url for p in fleet.engines()],
            [
                TeamLoad("depot", 2.0, 8, [0]),
                TeamLoad("riders", 1.0, 8, all_routers),
                TeamLoad("kiosks", 1.0, 8, all_routers),
            ],
            duration_s=duration_s,
            seed=seed,
        )
        results = run_experiment(experiment)
        time.sleep(0.5)
        ratio, routed_s, direct_s = latency_ratio(urls[0], fleet.engines()[0].url)
        print(format_results(results))
        print(
            f"first-token latency via router / direct: {ratio:.2f} "
            f"({routed_s * 1000:.1f} ms / {direct_s * 1000:.1f} ms, medians of 20)"
        )
        figures = {
            "fairness_gap": results.fairness_gap,
            "utilisation": results.utilisation,
            "control_bytes_per_s": results.control_bytes_per_s,
            "latency_ratio": ratio,
            "whole": results.complete_answers,
            "broken": results.incomplete_answers,
            "refused": results.refused,
        }
        (fleet.dir / "figures.json").write_text(json.dumps(figures, indent=2))
        return figures
    finally:
        for proc in fleet.routers():
            fleet.signal(proc.name, signal.SIGTERM)
        fleet.stop()
        print(f"stopped; logs in {fleet.dir} (turmerictray timeline {fleet.dir}/*.log)")
