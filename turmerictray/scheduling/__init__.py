"""Scheduling of requests: who schedules, the queues and targets there, and the messages to it.

The scheduler is the router that places the prompts of all routers on the engines of one shard.
"""
