"""Node of the two-hop mesh: callers side, ingress of the target, peers and store followers."""
