"""Builds the JSON errors of the HTTP surface."""

from __future__ import annotations

import math
from typing import Any

from ..core.outcome import Failed, NotRun, Outcome, Unknown, tag

STATUS_UNKNOWN = 502
STATUS_FAILED = 502


def error_body(
    reason: str,
    outcome: str,
    request_id: str | None = None,
    retry_after_ms: int | None = None,
    try_address: str | None = None,
) -> dict[str, Any]:
    """Return the body of an error answer."""
    error: dict[str, Any] = {"message": reason, "outcome": outcome}
    if request_id is not None:
        error["request_id"] = request_id
    if retry_after_ms is not None:
        error["retry_after_ms"] = retry_after_ms
    if try_address is not None:
        error["try_address"] = try_address
    return {"error": error}


def outcome_body(outcome: Outcome, request_id: str) -> dict[str, Any]:
    """Return the body for a request that did not end well."""
    match outcome:
        case NotRun(reason=reason, retry_after_ms=retry_after_ms, try_address=try_address):
            return error_body(reason, tag(outcome), request_id, retry_after_ms, try_address)
        case Unknown(reason=reason) | Failed(reason=reason):
            return error_body(reason, tag(outcome), request_id)
        case _:
            return error_body("", tag(outcome), request_id)


def outcome_status(outcome: Outcome) -> int:
    """Return the HTTP status for a request that did not end well."""
    match outcome:
        case NotRun(status=status):
            return status
        case Unknown():
            return STATUS_UNKNOWN
        case _:
            return STATUS_FAILED


def retry_headers(retry_after_ms: int | None) -> dict[str, str]:
    """Return the header that tells when to come back, in whole seconds, rounded up.

    >>> retry_headers(250)
    {'Retry-After': '1'}
    """
    if retry_after_ms is None:
        return {}
    return {"Retry-After": str(math.ceil(retry_after_ms / 1000))}
