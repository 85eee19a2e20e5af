"""Tests of monsoonflow; the folders mirror the product's."""
