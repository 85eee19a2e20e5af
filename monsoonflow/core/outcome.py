"""Defines how a request can end; every caller gets exactly one of these."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class Done:
    """The whole answer was produced and checked against its end marker."""

    chunks: int
    digest: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """Nothing of the request ran on any backend server; sending it again is safe.

    :param reason: a short machine-readable cause.
    :param retry_after_ms: when to come back, or ``None`` where coming back does not help.
    :param status: the HTTP status that fits the cause.
    :param try_address: another node to try at once, if one is known.
    """

    reason: str
    retry_after_ms: int | None = None
    status: int = 503
    try_address: str | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request was offered to a backend server and may or may not have run."""

    reason: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ran, at least in part, and ended badly."""

    reason: str


Outcome: TypeAlias = Done | NotRun | Unknown | Failed

TAG_BY_TYPE: dict[type, str] = {
    Done: "done",
    NotRun: "not_run",
    Unknown: "unknown",
    Failed: "failed",
}


def tag(outcome: Outcome) -> str:
    """Return the outcome's name on the wire and in logs.

    >>> tag(Unknown("connection lost"))
    'unknown'
    """
    return TAG_BY_TYPE[type(outcome)]
