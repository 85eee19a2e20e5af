"""Selects the nodes that callers should connect to."""
