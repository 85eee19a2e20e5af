"""Tests of the callers' client."""
