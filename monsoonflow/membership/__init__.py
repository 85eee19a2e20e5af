"""Tracks which nodes and backend servers are present, leaving or silent."""
