"""Gives orders to model runners, one holder a cell at a time."""
