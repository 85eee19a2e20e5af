"""Provides the command line."""
