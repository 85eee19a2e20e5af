"""Decides how one request's life goes and how it ends."""
