"""Plots that compare simulation runs."""

from matplotlib.figure import Figure

from turmerictray.simulation.loads import KINDS, Load
from turmerictray.simulation.measure import Result

_WIDTH_IN = 11.0
_HEIGHT_IN = 8.0


def plot_results(load: Load, results: list[Result], path: str) -> None:
    """Write a PNG of times to first event, fairness gap, engine utilisation and refusals."""
    fig = Figure(figsize=(_WIDTH_IN, _HEIGHT_IN), layout="constrained")
    axes = fig.subplots(2, 3).ravel()
    fig.suptitle(f"{load.scenario.value}, {load.per_s:g} requests/s, seed {load.seed}")
    for ax, kind in zip(axes, KINDS, strict=False):
        _plot_first_events(ax, kind.name, kind.objective_s, results)
    for ax, label, value in (
        (axes[3], "fairness gap between backlogged teams", lambda sample: sample.fairness_gap),
        (axes[4], "engines busy", lambda sample: sample.busy_fraction),
        (axes[5], "refusals", lambda sample: sample.refused),
    ):
        for res in results:
            times = [sample.at_s for sample in res.samples]
            ax.plot(times, [value(sample) for sample in res.samples], label=res.strategy)
        ax.axvspan(load.disturbance_start, load.disturbance_end, alpha=0.08)
        ax.set(xlabel="seconds", ylabel=label)
    axes[5].legend()
    fig.savefig(path)


def _plot_first_events(ax, kind: str, objective_s: float, results: list[Result]) -> None:
    for res in results:
        times = sorted(res.first_event_s[kind])
        fractions = [(rank + 1) / len(times) for rank in range(len(times))]
        ax.plot(times, fractions, label=res.strategy)
    ax.axvline(objective_s, linestyle=":")
    ax.set(xlabel=f"seconds to the first event ({kind})", ylabel="fraction of served requests")
