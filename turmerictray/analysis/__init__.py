"""Aggregate analysis of request outcomes, based on router logs only."""
