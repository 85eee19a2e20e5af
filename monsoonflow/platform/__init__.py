"""Translates between the users' platform and the product; the only place that knows its names."""
