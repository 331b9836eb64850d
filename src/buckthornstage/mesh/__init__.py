"""Node of the two-hop mesh: egress, ingress, exchange with peers, and store followers."""
