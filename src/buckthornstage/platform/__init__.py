"""Adapter between the platform's HTTP interfaces and the types of the mesh node."""
