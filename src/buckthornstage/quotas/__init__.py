"""Tenant quotas without a coordinator: leases of tokens, one lender for each group and zone.

No module here does input or output; `mesh.tenant_quotas` sends and receives the messages.
"""
