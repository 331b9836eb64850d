"""End-to-end demonstration of a whole mesh, with one process for each part."""
