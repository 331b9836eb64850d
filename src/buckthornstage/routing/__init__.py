"""Routing tables and load balancing.

`node` and `proxy` use `table`, `selection` and `subset`. The two-hop mesh (`mesh`) uses `routes`
and `ingress_selection`.
"""
