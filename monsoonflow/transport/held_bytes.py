"""Bounds the bytes that a node holds for callers and servers that read slowly."""

from __future__ import annotations

from typing import Final, Protocol

import attrs

DEFAULT_MEMORY_BYTES: Final = 160 << 20
"""The memory of the smallest nodes, for a process that is not told how much it may use."""

ANSWERS_SHARE: Final = 1 / 10
"""Share of the memory for the answers held for all callers together. On the smallest nodes these
are fifty of the largest size that is read completely before it is forwarded."""

REQUESTS_SHARE: Final = 1 / 10
"""Share of the memory for large requests together, and for small ones together. One caller's single
request is always held, up to the limits of the configuration."""

MAX_ANSWER_BYTES: Final = int(ANSWERS_SHARE * DEFAULT_MEMORY_BYTES)
MAX_REQUEST_BYTES: Final = int(REQUESTS_SHARE * DEFAULT_MEMORY_BYTES)

SMALL_REQUEST_BYTES: Final = 65_536
"""Requests up to this size share no limit with larger ones: some large bodies for a server that
reads slowly must not keep out typical requests of 10 KB for others."""


class Sender(Protocol):
    """A connection that sends to a caller."""

    def end_slow_send(self) -> None:
        """End the send in progress and close the connection."""


class Receiver(Protocol):
    """A connection that receives a request."""

    def end_receive(self) -> None:
        """Refuse the request that is being received and close the connection."""


@attrs.define(slots=True)
class _Held:
    """What is held for one caller.

    :param kept_bytes: received from a server and not being sent yet.
    :param sending_bytes: of the send in progress.
    """

    kept_bytes: int = 0
    sending_bytes: int = 0


class AnswerBytes:
    """The bytes of answers that callers have not read yet.

    If they exceed the limit, the sends that have been in progress for the longest are ended. A
    caller that reads has a send in progress for a moment only, so it loses nothing.

    :param max_bytes: limit for all callers together; a single send may exceed it.
    """

    def __init__(self, max_bytes: int = MAX_ANSWER_BYTES) -> None:
        self._max_bytes = max_bytes
        self._held_by_sender: dict[Sender, _Held] = {}
        self._sending: dict[Sender, None] = {}
        self.total = 0
        self.peak = 0
        self.ended_count = 0

    def begin_send(self, sender: Sender, size: int) -> None:
        """Count bytes that are about to be sent."""
        held = self._held_by_sender.setdefault(sender, _Held())
        held.sending_bytes = size
        self.total += size
        self._sending[sender] = None
        self._end_slow_sends(sender)

    def end_send(self, sender: Sender) -> None:
        """Count a send as complete; does nothing if it was ended."""
        if sender not in self._sending:
            return
        del self._sending[sender]
        held = self._held_by_sender[sender]
        self.total -= held.sending_bytes
        held.sending_bytes = 0
        if not held.kept_bytes:
            del self._held_by_sender[sender]

    def keep(self, sender: Sender, size: int) -> bool:
        """Count bytes that were received for a caller; return whether they may be kept.

        :param size: all that is kept for it; replaces the earlier value.
        """
        held = self._held_by_sender.get(sender)
        if held is None:
            if not size:
                return True
            held = self._held_by_sender[sender] = _Held()
        self.total += size - held.kept_bytes
        held.kept_bytes = size
        if not size and sender not in self._sending:
            del self._held_by_sender[sender]
            return True
        self._end_slow_sends(sender)
        return self.total <= self._max_bytes or self.total == size

    def release(self, sender: Sender) -> None:
        """Drop all that is held for a caller."""
        self._sending.pop(sender, None)
        held = self._held_by_sender.pop(sender, None)
        if held is not None:
            self.total -= held.kept_bytes + held.sending_bytes

    def _end_slow_sends(self, newest: Sender) -> None:
        while self.total > self._max_bytes and self._sending:
            slowest = next(iter(self._sending))
            if slowest is newest:
                break
            self.release(slowest)
            self.ended_count += 1
            slowest.end_slow_send()
        self.peak = max(self.peak, self.total)


class RequestBytes:
    """The bytes of requests that are being received, and of those that servers have not read yet.

    If they exceed the limit, the requests that have been incomplete for the longest are ended: a
    caller that stops short of the end of its request must not keep out those that go on. A request
    that no older one can make room for is refused.

    :param max_bytes: limit for small requests together, and for large ones together.

    >>> requests = RequestBytes(max_bytes=200_000)
    >>> [requests.hold(name, 150_000) for name in ("a", "b")], requests.hold("c", 10_000)
    ([True, False], True)
    >>> requests.hold("a", 0), requests.hold("b", 150_000), requests.total
    (True, True, 160000)
    """

    def __init__(self, max_bytes: int = MAX_REQUEST_BYTES) -> None:
        self._max_bytes = max_bytes
        self._bytes_by_holder: dict[object, int] = {}
        self._total_by_is_large = {False: 0, True: 0}
        self._receiving: dict[Receiver, None] = {}
        self.peak = 0
        self.refused_count = 0
        self.ended_count = 0

    @property
    def total(self) -> int:
        """Return the bytes that are held."""
        return sum(self._total_by_is_large.values())

    def begin_receive(self, receiver: Receiver) -> None:
        """Record that the request of a connection is incomplete."""
        self._receiving.setdefault(receiver)

    def end_receive(self, receiver: Receiver) -> None:
        """Record that it is complete or has been given up."""
        self._receiving.pop(receiver, None)

    def hold(self, holder: object, size: int) -> bool:
        """Count the bytes of a caller's requests; return whether they may be held.

        :param size: all bytes of the caller; replaces the earlier value. It is not counted if it
            may not be held.
        """
        before = self._release(holder)
        is_held = size <= before or self._has_room(size) or self._make_room(holder, size)
        self.refused_count += not is_held
        kept = size if is_held else before
        self._total_by_is_large[kept > SMALL_REQUEST_BYTES] += kept
        if kept:
            self._bytes_by_holder[holder] = kept
        self.peak = max(self.peak, self.total)
        return is_held

    def _release(self, holder: object) -> int:
        size = self._bytes_by_holder.pop(holder, 0)
        self._total_by_is_large[size > SMALL_REQUEST_BYTES] -= size
        return size

    def _has_room(self, size: int) -> bool:
        others = self._total_by_is_large[size > SMALL_REQUEST_BYTES]
        return others + size <= self._max_bytes or not others

    def _make_room(self, holder: object, size: int) -> bool:
        is_large = size > SMALL_REQUEST_BYTES
        for receiver in list(self._receiving):
            if receiver is holder:
                return False
            held = self._bytes_by_holder.get(receiver, 0)
            if not held or (held > SMALL_REQUEST_BYTES) is not is_large:
                continue
            self._release(receiver)
            del self._receiving[receiver]
            self.ended_count += 1
            receiver.end_receive()
            if self._has_room(size):
                return True
        return False


@attrs.frozen(slots=True)
class HeldBytes:
    """All that a server holds for its callers; several servers may share it."""

    answers: AnswerBytes = attrs.Factory(AnswerBytes)
    requests: RequestBytes = attrs.Factory(RequestBytes)

    @classmethod
    def for_memory(cls, memory_bytes: int) -> HeldBytes:
        """Return bounds for a process that may use some memory."""
        return cls(
            AnswerBytes(int(ANSWERS_SHARE * memory_bytes)),
            RequestBytes(int(REQUESTS_SHARE * memory_bytes)),
        )
