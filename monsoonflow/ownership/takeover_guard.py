"""Decides what a new owner may order while an earlier owner might still be active."""

from __future__ import annotations

import attrs

from ..runner.const import Permission


@attrs.define(slots=True)
class TakeoverGuard:
    """Restricts a runner's new owner after a takeover.

    A backend server that checks fencing numbers refuses the earlier owner's orders from the moment
    of the first order with the new number. One that ignores them would obey both owners; its new
    owner therefore evicts nothing until the earlier one can no longer send. A process frozen
    between its last look at the clock and the kernel's send stays open; see ``docs/PROOFS.md``.

    :param until_ms: when an earlier owner that is frozen can no longer have orders on their way.
    """

    checks_fencing: bool
    restricted_until_ms: int
    is_fenced: bool = False

    def permission(self, now_ms: int) -> Permission:
        """Return what may be ordered now."""
        if not self.is_fenced:
            return Permission.NOTHING
        if self.checks_fencing or now_ms >= self.restricted_until_ms:
            return Permission.ALL
        return Permission.NO_EVICTION
