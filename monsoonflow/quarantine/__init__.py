"""Requests under which servers end: how they are recognised and kept away from servers."""
