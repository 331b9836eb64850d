"""Node of the two-hop mesh: callers side, door of the target, peers and store followers."""
