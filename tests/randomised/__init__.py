"""Runs whole nodes with small fakes in virtual time, from a seed."""
