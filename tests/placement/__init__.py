"""Tests of the placement component."""
