"""Which parts of the order of waiting are enabled; all of them except in ablation measurements."""

from __future__ import annotations

from typing import Final

import attrs


@attrs.frozen(slots=True)
class QueuePolicy:
    """The parts of the order of waiting that can be disabled.

    :param keeps_loading_requests: whether a request whose adapter is being loaded is never refused.
    :param fair_shares: whether requests of customers above their share wait for others.
    :param drains_slots: whether slots in use by such customers are freed for others.
    """

    keeps_loading_requests: bool = True
    fair_shares: bool = True
    drains_slots: bool = True


DEFAULT_POLICY: Final = QueuePolicy()
