"""Routing table and choice of target."""
