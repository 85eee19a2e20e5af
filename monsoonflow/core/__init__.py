"""Holds what every component builds on: time, identities, outcomes and the journal."""
