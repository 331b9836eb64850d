"""Checked YAML settings."""
