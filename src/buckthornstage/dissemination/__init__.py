"""Spreading the accepted state over the nodes."""
