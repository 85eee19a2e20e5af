"""Decides which node owns which runner, by lease and fencing number."""
