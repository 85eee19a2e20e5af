"""Passes callers' requests on to backend servers, byte for byte, and their answers back."""
