"""Randomised soak test: router processes under injected faults, with all guarantees checked."""
