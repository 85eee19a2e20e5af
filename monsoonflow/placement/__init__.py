"""Decides which runner serves an adapter and which adapter is loaded next."""
