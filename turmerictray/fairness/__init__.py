"""Accounting of each team's usage, and the fair queue that orders a router's backlog."""
