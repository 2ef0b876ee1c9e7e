"""Per-team service accounting and the fair queue that orders a router's backlog."""
