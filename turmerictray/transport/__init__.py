"""HTTP in and out: the front that callers speak to, connections to targets, relayed streams."""
