"""Selection of the scheduler of a service's engines, and the messages exchanged with it.

The scheduler is the router that places the prompts of all routers on the engines of one shard.
"""
