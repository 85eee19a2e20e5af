"""Decides what a runner's new owner may order while the previous owner may still be active."""

from __future__ import annotations

import attrs

from ..runner.const import Permission


@attrs.define(slots=True)
class TakeoverGuard:
    """Restricts the new owner of a runner after a takeover.

    A backend server that checks fencing numbers refuses the previous owner's orders from its first
    order with the new number on. A server that does not check them would obey both owners, so the
    new owner evicts nothing until the previous one can no longer send orders. One case is not
    covered: a previous owner that is suspended between its last check of the clock and the sending
    by the kernel; see ``docs/PROOFS.md``.

    :param checks_fencing: whether the server checks fencing numbers.
    :param restricted_until_ms: when orders of a suspended previous owner can no longer be in
        transit.
    :param is_fenced: whether the server has received the new owner's fencing number.
    """

    checks_fencing: bool
    restricted_until_ms: int
    is_fenced: bool = False

    def permission(self, now_ms: int) -> Permission:
        """Return which orders may be sent now."""
        if not self.is_fenced:
            return Permission.NOTHING
        if self.checks_fencing or now_ms >= self.restricted_until_ms:
            return Permission.ALL
        return Permission.NO_EVICTION
