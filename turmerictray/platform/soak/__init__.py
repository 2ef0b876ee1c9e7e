"""A randomised soak: router processes under faults from outside, every promise checked."""
