"""End-to-end demonstration with separate processes."""
