"""Tests of the runner component."""
