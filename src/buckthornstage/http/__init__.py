"""HTTP/1.1 on trio and h11, shared by the proxy, the administration API and the stand-ins."""
