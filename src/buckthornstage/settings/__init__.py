"""Validated YAML settings."""
