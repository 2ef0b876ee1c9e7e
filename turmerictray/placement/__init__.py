"""Orders that have engines load the models the configuration gives them."""
