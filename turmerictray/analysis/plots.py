"""Time-series plots of a log analysis."""

from matplotlib.figure import Figure

from turmerictray.analysis.records import RequestOutcome
from turmerictray.analysis.tally import WINDOW_S, Analysis

_WIDTH_IN = 10.0
_HEIGHT_IN = 9.0


def plot_analysis(analysis: Analysis, path: str) -> None:
    """Write a PNG of request outcomes, waiting times and the accuracy of estimates over time."""
    fig = Figure(figsize=(_WIDTH_IN, _HEIGHT_IN), layout="constrained")
    outcomes_ax, times_ax, estimate_ax = fig.subplots(3, 1, sharex=True)
    timeline = analysis.timeline()
    times = [at for at, _ in timeline]
    rates = [
        [tally.fates[outcome] / WINDOW_S for _, tally in timeline] for outcome in RequestOutcome
    ]
    outcomes_ax.stackplot(times, rates, labels=[outcome.value for outcome in RequestOutcome])
    outcomes_ax.set(ylabel="requests/s")
    outcomes_ax.legend(fontsize="small")
    for fraction in (0.5, 0.9):
        label = f"p{round(100 * fraction)}"
        times_ax.plot(
            times, [t.wait_s.quantile(fraction) for _, t in timeline], label=f"wait {label}"
        )
        engine = [tally.engine_s.quantile(fraction) for _, tally in timeline]
        times_ax.plot(times, engine, linestyle="--", label=f"engine {label}")
        estimate_ax.plot(times, [t.estimate.quantile(fraction) for _, t in timeline], label=label)
    times_ax.set(ylabel="seconds")
    times_ax.legend(fontsize="small")
    estimate_ax.axhline(1.0, linestyle=":")
    estimate_ax.set(
        xlabel="seconds", ylabel="time to first event, observed / expected", yscale="log"
    )
    estimate_ax.legend(fontsize="small")
    fig.savefig(path)
