"""Heartbeats between entry nodes, and what a node knows of its peers from them."""
