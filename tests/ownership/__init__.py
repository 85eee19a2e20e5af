"""Tests of the ownership component."""
