"""Tells whether a node's configuration can be the newest one."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """How current the configuration of this node is.

    :param is_current: whether no newer one can have been in force for long: the store answers, and
        no peer announces a newer one.
    :param age_ms: how long ago the store last confirmed it; ``None`` if it never did.
    """

    is_current: bool
    age_ms: int | None
