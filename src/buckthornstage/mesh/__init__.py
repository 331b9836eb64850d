"""Mesh node: egress, ingress, exchange with peers, and store followers."""
