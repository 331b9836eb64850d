"""Measurements with separate processes."""
