"""Protocol between nodes: frames, connections and datagrams."""
