"""Tests of the runner package."""
