"""Holds small functions that several components share."""
