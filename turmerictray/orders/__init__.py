"""At-most-once execution of non-idempotent requests ("orders") across the fleet.

Before a router sends an order, it claims the order's key at the key's replicas: a few routers that
store claims in memory. The order is sent only if a majority of them grants the claim.
"""
