"""Discovered backend servers: their services, addresses, and which of them are leaving."""
