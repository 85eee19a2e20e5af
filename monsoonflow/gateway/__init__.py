"""Forwards callers' requests to backend servers, and the answers back, byte for byte."""
