"""Translates between the users' platform and this project; only this package knows its names."""
