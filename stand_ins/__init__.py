"""Small stand-ins for the systems that the product meets; for tests and the demo only."""
