"""Who the routers are and what they tell each other."""
