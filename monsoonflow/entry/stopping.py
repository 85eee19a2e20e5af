"""Stops an entry process without cutting off a request."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from .daemon import EntryDaemon

from ..logs import events, log

_LOGGER = logging.getLogger(__name__)
KEEP_LISTENING_MS: Final = 2_500
"""Callers may come for so long after the last address answer that named this node."""

EXIT_MARGIN_MS: Final = 700
"""What is left of the grace period when the process ends by itself."""

CHECK_INTERVAL_MS: Final = 50


def stop_gracefully(daemon: EntryDaemon) -> None:
    """Give up duties, send callers elsewhere, and end when the last request has been answered."""
    started_ms = daemon.clock.now_ms()
    log(_LOGGER, events.Stopping(in_progress=daemon.ports.callers.active))
    daemon.is_leaving = True
    end_ms = started_ms + daemon.settings.bounds.grace_ms - EXIT_MARGIN_MS
    daemon.cell_leases.release_all(end_ms - CHECK_INTERVAL_MS)
    # Told in turns, who answers callers would go on naming this node for seconds: of 195 nodes the
    # last hears after 3.4 s, and new connections are taken for 2.5 s.
    daemon.gossip.schedule_broadcast()
    daemon.ports.callers.stop_keeping()
    outlast_ms = min(end_ms, started_ms + KEEP_LISTENING_MS)
    while daemon.clock.now_ms() < outlast_ms:
        daemon.tasks.sleep(CHECK_INTERVAL_MS)
    # What came now might not be finished: a long answer would be cut by the end of the grace
    # period. On connections that callers kept it is refused unrun, new connections are not taken.
    daemon.gateway.accepts_requests = False
    daemon.ports.callers.stop_listening()
    daemon.tasks.sleep(CHECK_INTERVAL_MS)
    while daemon.clock.now_ms() < end_ms and (
        daemon.ports.callers.active or daemon.cell_leases.holds_any()
    ):
        daemon.tasks.sleep(CHECK_INTERVAL_MS)
    log(
        _LOGGER,
        events.Stopped(
            in_progress=daemon.ports.callers.active, took_ms=daemon.clock.now_ms() - started_ms
        ),
    )
