"""Routers and engines in virtual time, around the real decision objects."""
