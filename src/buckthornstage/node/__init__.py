"""The node daemon: a core without I/O and the trio tasks around it."""
