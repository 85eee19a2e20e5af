"""Tells which promises to callers were broken, by what callers got and what servers ran.

A promise to customers: a server gets the name of the customer whose key the caller sent, never the
key, and nothing without a valid key.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Final

from monsoonflow.helpers.http_syntax import FINAL_STATUSES

from .const import ONCE_PATH
from .processes import Record

NOT_RUN: Final = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request did not run and never will."""


def broken_promises(callers: Iterable[Record], servers: Iterable[Record]) -> list[str]:
    """Return a line for each request that ran twice or though refused, or got another's answer."""
    arrivals = list(servers)
    reached = Counter(r.fields["request"] for r in arrivals if r.event == "reached")
    unrun = Counter(r.fields["request"] for r in arrivals if r.event == "unrun")
    ran = reached - unrun
    broken = []
    arrivals_by_request: dict[str, list[Record]] = {}
    for arrival in arrivals:
        if arrival.event == "reached":
            arrivals_by_request.setdefault(arrival.fields["request"], []).append(arrival)
    for record in callers:
        if record.event != "ended":
            continue
        request, status = record.fields["request"], record.fields["status"]
        for arrival in arrivals_by_request.get(request, ()):
            broken += _broken_identity(record, arrival)
        if status and status not in FINAL_STATUSES:
            broken.append(f"{request} got status {status}")
        if status == 200 and not record.fields["own"]:
            broken.append(f"{request} got an answer that is not its own, or not whole")
        if record.fields["path"] != ONCE_PATH:
            continue
        if ran[request] > 1:
            broken.append(f"{request} ran {ran[request]} times")
        if status in NOT_RUN and ran[request]:
            broken.append(f"{request} was refused with {status} and ran")
    return broken


def _broken_identity(caller: Record, arrival: Record) -> list[str]:
    request, customer = caller.fields["request"], caller.fields.get("customer")
    broken = []
    if arrival.fields.get("has_key"):
        broken.append(f"{request} reached {arrival.source} with its key")
    if arrival.fields.get("customer") != customer:
        named = arrival.fields.get("customer")
        broken.append(f"{request} of {customer} reached {arrival.source} as of {named}")
    elif "customer" in caller.fields and customer is None:
        broken.append(f"{request} reached {arrival.source} without a valid key")
    return broken
