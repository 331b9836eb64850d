"""Routing tables and load balancing."""
