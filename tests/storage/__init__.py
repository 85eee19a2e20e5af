"""Tests of the platform component."""
