"""Stand-ins for the platform's systems, each run as its own process.

They speak the protocols the router meets in production (OpenAI-style HTTP for engines, JSON
over HTTP for plain services, conditional long-poll reads for the configuration service) and
add ``/admin/...`` calls so tests can inject faults and read what happened.
"""
