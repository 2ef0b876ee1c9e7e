"""Membership of the router fleet, kept up to date by gossip."""
