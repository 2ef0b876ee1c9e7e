"""The load and experiment tool: a local fleet of processes, load, and its reports."""
