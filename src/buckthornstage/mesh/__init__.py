"""Node of the two-hop mesh: egress, ingress of the target, peers and store followers."""
