"""Infrastructure shared by all processes: ids, errors, logs, metrics, actors and timers."""
