"""The router's view of targets and the choice of a target for each request."""
