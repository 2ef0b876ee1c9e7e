"""Admission control: when a request is dispatched, queued, retried or refused.

The package contains no sockets and no actors.
"""
