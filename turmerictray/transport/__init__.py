"""HTTP transport: the server for callers, connections to targets, and streamed answers."""
