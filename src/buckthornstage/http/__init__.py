"""HTTP/1.1 client and server on trio and h11, shared by nodes, command line and stand-ins."""
