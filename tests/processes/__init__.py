"""Tests of the processes component."""
