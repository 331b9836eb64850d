"""Fault soak: real node processes under overlapping faults, judged from outside."""
