"""Decides which adapters a model runner holds and which requests it runs."""
