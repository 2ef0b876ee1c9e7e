"""Stand-ins of what the platform provides, for tests and for trying the router by hand."""
