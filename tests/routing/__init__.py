"""Tests of the routing component."""
