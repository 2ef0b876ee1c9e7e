"""Discrete-event simulation of routers and engines, using the product's decision code."""
