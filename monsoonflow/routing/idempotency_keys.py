"""Stores idempotency keys, so that a request with a key runs at most once at its home node."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TypeAlias

import attrs


@dataclass(frozen=True, slots=True)
class NewKey:
    """The key is new; the request may be admitted."""


@dataclass(frozen=True, slots=True)
class KnownKey:
    """The key belongs to a request of this node, whose answer is returned again."""

    request_id: str


@dataclass(frozen=True, slots=True)
class KeyConflict:
    """The key was already used with a different body."""


@dataclass(frozen=True, slots=True)
class KeysFull:
    """No more keys can be stored; the request must not be admitted."""


KeyResult: TypeAlias = NewKey | KnownKey | KeyConflict | KeysFull


@attrs.define(slots=True)
class _Entry:
    """The request of a key; ``ended_ms`` is ``None`` until it has ended."""

    request_id: str
    body_digest: bytes
    ended_ms: int | None = None


class IdempotencyKeys:
    """Stores the keys of each customer until a fixed time after their request has ended.

    When the store is full, new keys are refused rather than old ones dropped: dropping a key would
    let its request run a second time.

    :param retention_ms: how long a key is kept after its request has ended.
    """

    def __init__(self, retention_ms: int, max_keys: int) -> None:
        self._retention_ms = retention_ms
        self._max_keys = max_keys
        self._entry_by_key: OrderedDict[tuple[str, str], _Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entry_by_key)

    def find_request(self, customer: str, key: str) -> str | None:
        """Return the id of the request that a key belongs to, if any."""
        entry = self._entry_by_key.get((customer, key))
        return entry.request_id if entry is not None else None

    def admit(
        self, customer: str, key: str, body_digest: bytes, request_id: str, now_ms: int
    ) -> KeyResult:
        """Register a key, or return the request that it already belongs to.

        Each customer has its own keys: it can neither see nor block those of another.
        """
        self._expire(now_ms)
        entry = self._entry_by_key.get((customer, key))
        if entry is not None:
            if entry.body_digest != body_digest:
                return KeyConflict()
            return KnownKey(entry.request_id)
        if len(self._entry_by_key) >= self._max_keys:
            return KeysFull()
        self._entry_by_key[(customer, key)] = _Entry(request_id, body_digest)
        return NewKey()

    def record_end(self, customer: str, key: str, now_ms: int, has_run: bool) -> None:
        """Record the end of a key's request.

        :param has_run: ``False`` for ``not_run``, which releases the key so that the caller may
            retry.
        """
        entry = self._entry_by_key.get((customer, key))
        if entry is None:
            return
        if not has_run:
            del self._entry_by_key[(customer, key)]
            return
        entry.ended_ms = now_ms
        self._entry_by_key.move_to_end((customer, key))

    def _expire(self, now_ms: int) -> None:
        for key, entry in list(self._entry_by_key.items())[:8]:
            if entry.ended_ms is not None and now_ms - entry.ended_ms > self._retention_ms:
                del self._entry_by_key[key]
