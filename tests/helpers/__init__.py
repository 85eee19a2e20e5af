"""Tests of the helpers component."""
