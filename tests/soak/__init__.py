"""Tests of the soak of real processes."""
