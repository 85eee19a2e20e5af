"""Answers callers, operators and probes over HTTP."""
