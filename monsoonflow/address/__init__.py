"""Tells callers which node to connect to."""
