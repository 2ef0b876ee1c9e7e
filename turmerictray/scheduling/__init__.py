"""Which router places prompts on the engines, and how the other routers ask it."""
