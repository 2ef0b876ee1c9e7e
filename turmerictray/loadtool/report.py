"""Text and plots of the results of an experiment or of the capacity bench."""

from pathlib import Path

from turmerictray.loadtool.bench import BenchResults
from turmerictray.loadtool.experiment import Results


def format_results(res: Results) -> str:
    """Format the results of a run as a short table."""
    lines = [
        f"answers: {res.complete_answers} whole, {res.incomplete_answers} broken, "
        f"{res.refused} refused",
        "service per unit of weight (tokens): "
        + ", ".join(f"{team}={value:.0f}" for team, value in sorted(res.service.items())),
        f"fairness gap: {res.fairness_gap:.3f} of the mean ({res.gap_tokens:.0f} tokens)",
        f"utilisation while work waits: {res.utilisation:.3f} " f"({res.waiting_samples} samples)",
        f"control traffic per router: {res.control_bytes_per_s:.0f} B/s",
    ]
    return "\n".join(lines)


def plot_series(res: Results, path: str) -> None:
    """Plot service per team, utilisation and control bytes over the measured window as a PNG.

    Raises
    ------
    ImportError
        When matplotlib is not installed (``pip install turmerictray[plot]``).
    """
    fig, (service, busy, control) = _figure(rows=3)
    times = [sample.at_s for sample in res.series]
    for team in sorted(res.service):
        service.plot(times, [sample.service[team] for sample in res.series], label=team)
    service.set_ylabel("tokens per weight")
    service.legend()
    busy.plot(times, [sample.utilisation for sample in res.series])
    busy.set_ylabel("busy slots / slots")
    control.plot(times, [sample.control_bytes / 1000 for sample in res.series])
    control.set_ylabel("control KB, all routers")
    control.set_xlabel("seconds into the measured window")
    _save(fig, path)


def plot_control(res: BenchResults, path: str) -> None:
    """Plot idle control traffic per router against the fleet size as a PNG.

    Raises
    ------
    ImportError
        When matplotlib is not installed (``pip install turmerictray[plot]``).
    """
    fig, ax = _figure()
    sizes = sorted(res.idle)
    ax.plot(sizes, [res.idle[size]["bytes_per_s"] for size in sizes], marker="o")
    ax.set_xlabel("routers in the fleet")
    ax.set_ylabel("control bytes/s per router (idle)")
    _save(fig, path)


def _figure(rows: int = 1):
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    return plt.subplots(rows, figsize=(7, 2 + 2 * rows))


def _save(fig, path: str) -> None:
    Path(path).parent.mkdir(parents=True, exist_ok=True)
    fig.tight_layout()
    fig.savefig(path)
