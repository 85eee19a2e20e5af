"""Tests of the api component."""
