"""Golden files of whole sessions that a person can read."""
