"""Dissemination of accepted configuration and member records by gossip."""
