"""Tests of the request component."""
