"""Composes requests, runners and ownership into one node's pure decision core."""
