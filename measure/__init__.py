"""Measures the product's decisions and costs; every figure in the docs comes from here."""
