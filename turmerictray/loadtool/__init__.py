"""Load, experiment and fault-injection tool, run on a local fleet of processes."""
