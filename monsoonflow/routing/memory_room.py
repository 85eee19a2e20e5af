"""Decides whether a request fits into the KV cache of a runner."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True)
class MemoryUse:
    """The KV cache of one runner that is spoken for, in tokens.

    :param reported_tokens: of the requests that nodes report.
    :param unreported_tokens: of requests that were sent or granted and are in no report yet.
    """

    reported_tokens: int
    unreported_tokens: int = 0

    @property
    def total_tokens(self) -> int:
        """Return both together; a negative sum of reports counts as nothing."""
        return max(0, self.reported_tokens) + max(0, self.unreported_tokens)


def exceeds_runner(prompt_tokens: int, capacity_tokens: int) -> bool:
    """Return whether no runner can hold a prompt and one token of output.

    :param capacity_tokens: KV cache of one runner; 0 or less if unknown.

    >>> exceeds_runner(100, 101), exceeds_runner(101, 101), exceeds_runner(101, 0)
    (False, True, False)
    """
    return 0 < capacity_tokens < prompt_tokens + 1


def has_room(need_tokens: int, use: MemoryUse, capacity_tokens: int) -> bool:
    """Return whether a request fits beside those that a runner has.

    An estimate above the whole cache is taken for the whole cache: an idle runner may hold it.

    :param need_tokens: of the request; 0 or less if unknown, which always fits.
    :param capacity_tokens: KV cache of one runner; 0 or less if unknown.

    >>> [has_room(40, MemoryUse(used), 100) for used in (0, 60, 61)]
    [True, True, False]
    >>> has_room(40, MemoryUse(50, 20), 100), has_room(500, MemoryUse(0), 100)
    (False, True)
    >>> has_room(0, MemoryUse(200), 100), has_room(40, MemoryUse(200), 0)
    (True, True)
    """
    if capacity_tokens <= 0 or need_tokens <= 0:
        return True
    return use.total_tokens + min(need_tokens, capacity_tokens) <= capacity_tokens
