"""Orders to engines to load the models assigned to them by the configuration."""
