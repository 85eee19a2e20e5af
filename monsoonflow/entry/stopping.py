"""Stops an entry process without cutting off a request."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from .daemon import EntryDaemon

from ..logs import events, log

_LOGGER = logging.getLogger(__name__)
KEEP_LISTENING_MS: Final = 2_500
"""Callers may connect for this long after the last address answer that named this node."""

EXIT_MARGIN_MS: Final = 700
"""Part of the grace period that is left when the process ends by itself."""

CHECK_INTERVAL_MS: Final = 50


def stop_gracefully(daemon: EntryDaemon) -> None:
    """Release cell leases, send callers elsewhere, and end when the last request is answered."""
    started_ms = daemon.clock.now_ms()
    log(_LOGGER, events.Stopping(in_progress=daemon.ports.callers.active_count))
    daemon.is_leaving = True
    end_ms = started_ms + daemon.settings.bounds.grace_ms - EXIT_MARGIN_MS
    stop_deadline = daemon.gateway.stop_deadline
    stop_deadline.begin(end_ms)
    daemon.cell_leases.release_all(end_ms - CHECK_INTERVAL_MS)
    # If this went out with the usual heartbeat rounds, nodes that answer callers would go on naming
    # this node for seconds: the last of 195 nodes receives it after 3.4 s, and new connections are
    # accepted for 2.5 s.
    daemon.gossip.schedule_broadcast()
    daemon.ports.callers.stop_keep_alive()
    listen_until_ms = min(stop_deadline.end_ms, started_ms + KEEP_LISTENING_MS)
    while daemon.clock.now_ms() < listen_until_ms:
        stop_deadline.refuse_late_waits()
        daemon.tasks.sleep(CHECK_INTERVAL_MS)
    # A request that arrives now might not be finished: a long answer would be cut off by the end of
    # the grace period. On connections that callers kept it is refused without being run, and new
    # connections are not accepted.
    daemon.gateway.accepts_requests = False
    daemon.ports.callers.stop_listening()
    daemon.tasks.sleep(CHECK_INTERVAL_MS)
    while _has_work(daemon) and daemon.clock.now_ms() < stop_deadline.end_ms:
        stop_deadline.refuse_late_waits()
        daemon.tasks.sleep(CHECK_INTERVAL_MS)
    stop_deadline.answer_all()
    while _has_work(daemon) and daemon.clock.now_ms() < end_ms:
        daemon.tasks.sleep(CHECK_INTERVAL_MS)
    daemon.gateway.log_unfinished()
    log(
        _LOGGER,
        events.Stopped(
            in_progress=daemon.ports.callers.active_count,
            took_ms=daemon.clock.now_ms() - started_ms,
        ),
    )


def _has_work(daemon: EntryDaemon) -> bool:
    """Return whether requests are in progress, of callers or peers, or leases are held."""
    return bool(
        daemon.ports.callers.active_count
        or daemon.gateway.forwarded_count
        or daemon.cell_leases.holds_any()
    )
