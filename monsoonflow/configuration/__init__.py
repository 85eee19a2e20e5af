"""Keeps what is in force: customers, adapters, runners, services; and how it changes."""
