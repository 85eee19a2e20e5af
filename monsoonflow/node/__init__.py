"""Wires one entry VM's daemon: edges, greenlets and the pure core."""
