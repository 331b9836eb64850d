"""HTTP/1.1 over trio with h11: shared by the proxy, the administration API and the stand-ins."""
