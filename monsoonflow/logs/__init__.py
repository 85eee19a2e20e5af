"""Logs typed events: one line of key=value pairs each, without blocking the process."""

from . import events
from .write import log

__all__ = ["events", "log"]
