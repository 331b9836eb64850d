"""The daemon: pure core and its trio wiring."""
