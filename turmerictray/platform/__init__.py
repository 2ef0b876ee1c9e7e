"""Translation between the users' platform and the product; the only place with its names."""
