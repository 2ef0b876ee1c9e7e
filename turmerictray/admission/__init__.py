"""Decisions on when a request is sent, kept waiting, repeated or refused; no sockets, no actors."""
