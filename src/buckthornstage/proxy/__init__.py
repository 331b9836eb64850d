"""HTTP proxy for calls to backend servers, with h11 on trio."""
