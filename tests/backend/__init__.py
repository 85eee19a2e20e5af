"""Tests of the backend component."""
