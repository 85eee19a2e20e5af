"""Tests of the node component."""
