"""Membership: member records, their merging, and failure detection."""
