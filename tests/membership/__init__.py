"""Tests of the membership component."""
