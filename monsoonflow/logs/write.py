"""Formats events and writes them to the log."""

from __future__ import annotations

import logging
import re
from functools import lru_cache

import attrs

from ..helpers.logfmt import pairs
from .events import Event


@lru_cache(maxsize=256)
def event_name(event_type: type[Event]) -> str:
    """Return an event type's name in log lines.

    >>> from .events import ServerCame
    >>> event_name(ServerCame)
    'server_came'
    """
    return re.sub(r"(?<!^)(?=[A-Z])", "_", event_type.__name__).lower()


@lru_cache(maxsize=256)
def _field_names(event_type: type[Event]) -> tuple[str, ...]:
    return tuple(field.name for field in attrs.fields(event_type))


def format_event(event: Event) -> str:
    """Return an event as key=value pairs; fields that are ``None`` are left out.

    >>> from .events import ServerLeaves
    >>> format_event(ServerLeaves("i-1", "said so"))
    'event=server_leaves server=i-1 cause="said so"'
    """
    event_type = type(event)
    return pairs(
        event=event_name(event_type),
        **{name: getattr(event, name) for name in _field_names(event_type)},
    )


def log(logger: logging.Logger, event: Event) -> None:
    """Write an event if its level is enabled."""
    if logger.isEnabledFor(event.LEVEL):
        logger.log(event.LEVEL, "%s", format_event(event))
