"""Stand-ins for the platform's services, for tests and for trying the router by hand."""
