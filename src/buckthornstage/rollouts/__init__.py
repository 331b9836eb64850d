"""Decisions on the roll-out of a new version of a service; no I/O."""
