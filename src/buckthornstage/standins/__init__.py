"""Stand-ins for outside systems, used by tests, demo and bench."""
