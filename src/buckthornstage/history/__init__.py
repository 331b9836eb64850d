"""Events, their buffer, and queries over them."""
