"""Membership: member records, their merging, and failure detection.

`directory` and `lifetimes` belong to the two-hop mesh (`mesh`). The other modules are used by
`node`, `dissemination` and `idempotency`.
"""
