"""Protocol between the nodes: frames, connections and datagrams."""
