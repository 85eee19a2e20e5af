"""Judges whether a customer that sends many requests shuts out one that sends few.

Only what callers got decides, of requests that no fault concerned.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Final

import attrs

from .processes import Record

MIN_SHARE: Final = 1 / 4
"""So much of the requests of a customer that sends little must be served. The design asks for 0.95
on a quiet machine; here the nodes share one machine with servers, callers and other runs."""

MIN_SENT: Final = 8
"""Fewer requests are not judged: at a served share of one half, eight fall below a quarter by
chance in 4 of 100 cases, four in 6."""

LITTLE_SHARE: Final = 1 / 2
"""A customer sends little if it sends less than this share of what the one in a rush sends. With
less of a difference, both may use more than their fair share, and both are refused rightly."""


@attrs.frozen(slots=True)
class Rush:
    """A time in which a customer sent many times its usual requests."""

    customer: str
    from_ms: int
    until_ms: int


@attrs.frozen(slots=True)
class Share:
    """How a customer's requests to one path were served beside one in a rush.

    Paths are judged apart, since slots are scarce for streams only and the other requests would
    hide it.

    :param rush_sent: requests of the customer in the rush, to the same path.
    """

    customer: str
    path: str
    sent: int
    served: int
    rush: Rush
    rush_sent: int
    rush_served: int

    def is_shut_out(self) -> bool:
        """Return whether a customer that sends little was hardly served while the other was."""
        sends_little = self.sent < LITTLE_SHARE * self.rush_sent
        is_judged = self.sent >= MIN_SENT and sends_little and self.rush_served > 0
        return is_judged and self.served < MIN_SHARE * self.sent

    def line(self) -> str:
        """Return what there is to tell in a line."""
        return (
            f"{self.served} of {self.sent} of {self.customer} to {self.path} were served, and "
            f"{self.rush_served} of {self.rush_sent} of {self.rush.customer} in its rush until "
            f"{self.rush.until_ms}"
        )


def shares_in_rushes(
    callers: Iterable[Record], rushes: Iterable[Rush], is_excused: Callable[[int, int], bool]
) -> list[Share]:
    """Return how each other customer was served during each rush, by path.

    A request counts once, with all tries of its caller, in the rush in which its first try was
    sent. Requests without a valid key belong to no customer.

    :param is_excused: whether a fault concerns what was in progress from a moment to another one.
    """
    tries: dict[str, list[Record]] = defaultdict(list)
    for record in callers:
        if record.event == "ended" and record.fields["customer"] is not None:
            tries[record.fields["first"]].append(record)
    requests_by_path: dict[str, list[tuple[int, str, bool]]] = defaultdict(list)
    for records in tries.values():
        fields = records[0].fields
        sent_ms = min(record.at_ms - record.fields["took_ms"] for record in records)
        if not is_excused(sent_ms, max(record.at_ms for record in records)):
            is_served = any(record.fields["status"] == 200 for record in records)
            requests_by_path[fields["path"]].append((sent_ms, fields["customer"], is_served))
    return [
        share
        for rush in rushes
        for path, requests in sorted(requests_by_path.items())
        for share in _shares(rush, path, requests)
    ]


def _shares(rush: Rush, path: str, requests: list[tuple[int, str, bool]]) -> list[Share]:
    served_by_customer: dict[str, list[bool]] = defaultdict(list)
    for sent_ms, customer, is_served in requests:
        if rush.from_ms <= sent_ms < rush.until_ms:
            served_by_customer[customer].append(is_served)
    of_rush = served_by_customer.pop(rush.customer, [])
    return [
        Share(customer, path, len(served), sum(served), rush, len(of_rush), sum(of_rush))
        for customer, served in sorted(served_by_customer.items())
    ]
