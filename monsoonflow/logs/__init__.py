"""Writes what happened as typed events: one line of key=value pairs each, never blocking."""

from . import events
from .write import log

__all__ = ["events", "log"]
