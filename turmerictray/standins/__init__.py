"""Stand-ins: emulated systems that routers talk to, each run as a process.

They use the same protocols as in production (OpenAI-style HTTP for engines, JSON over HTTP for
plain services, conditional long polling for the configuration service) and add ``/admin/...``
calls with which tests inject faults and read statistics.
"""
