"""Knows the backend servers: who serves what, where, and who is leaving."""
