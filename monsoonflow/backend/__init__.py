"""Meets the engines behind one typed interface."""
