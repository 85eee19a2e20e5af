"""Wires the daemon that takes callers' requests for any backend server."""
