"""Holds what starts processes: the demo, measurements and the local fleet."""
