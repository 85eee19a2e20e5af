"""Decides what a node sends to its runners, from its requests, runners and ownership."""
