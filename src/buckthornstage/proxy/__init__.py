"""HTTP path of a call, h11 on trio."""
