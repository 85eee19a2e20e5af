"""Runs the platform's store as a process: servers register there, and silent ones lapse."""

from __future__ import annotations

import argparse
import random
import time
from typing import Any, Final

import gevent
import orjson
from gevent import config

config.resolver = "block"

from monsoonflow.transport.models import Request  # noqa: E402
from monsoonflow.transport.reply import Reply  # noqa: E402
from stand_ins.commands import follow, record  # noqa: E402
from stand_ins.platform_store import PlatformStore  # noqa: E402

SERVERS: Final = "servers"
OPERATOR: Final = "op"
MISSED_HEARTBEATS: Final = 3
CHECK_S: Final = 0.1
WRITES_AGAIN_S: Final = 2.0
"""Within this time after a return servers remove their entries again."""


class StoreProcess(PlatformStore):
    """A store that notes when it accepted that a server leaves, and when an entry lapsed."""

    def __init__(self, address: str, heartbeat_ms: int) -> None:
        super().__init__(address, era=1)
        self._copy = self.copy()
        self._lapse_s = heartbeat_ms * MISSED_HEARTBEATS / 1000
        self._heard_at_by_id: dict[str, float] = {}
        self._state_by_id: dict[str, str] = {}
        self._removed_ids: set[str] = set()

    def lapse_for_good(self) -> None:
        """Remove the entries of servers that have been silent for too long."""
        while True:
            gevent.sleep(CHECK_S)
            now = time.monotonic()
            for server, heard_at in list(self._heard_at_by_id.items()):
                if now - heard_at > self._lapse_s:
                    self._gone(server, "lapsed")

    def misbehave(self, **faults: Any) -> None:
        """Set faults by their names."""
        for name, value in faults.items():
            setattr(self.faults, name, value)

    def configure(self, value: dict[str, Any]) -> None:
        """Write the operator's configuration; an unavailable store accepts it later."""
        while self.faults.down or self.faults.silent:
            gevent.sleep(CHECK_S)
        self.put(OPERATOR, "config", value)
        record("configured", version=value["version"])

    def keep_copy(self) -> None:
        """Keep a copy of the current state."""
        self._copy = self.copy()

    def return_from_copy(self, overtakes: bool) -> None:
        """Come back from the copy that was kept.

        :param overtakes: whether all versions that were lost are given out again at once.
        """
        last = self.version
        self.return_from(self._copy)
        now = time.monotonic()
        for table, server in self.rows:
            if table != SERVERS or self.rows[table, server][1] is None:
                continue
            if server in self._removed_ids:
                gevent.spawn_later(random.uniform(0, WRITES_AGAIN_S), self.remove, SERVERS, server)
            else:
                # An entry that nobody writes again lapses.
                self._heard_at_by_id.setdefault(server, now)
                self._state_by_id.setdefault(server, "copied")
        record("returned", era=self.era, version=self.version, last=last)
        while overtakes and self.version <= last:
            self.put("other", "row", {})

    def _handle(self, request: Request, reply: Reply) -> None:
        if request.target == b"/register" and not self.faults.down and not self.faults.silent:
            self._register(**orjson.loads(request.body))
            reply.send_whole(200, [])
            return
        super()._handle(request, reply)

    def _register(self, server: str, entry: dict[str, Any] | None) -> None:
        if entry is None:
            self._removed_ids.add(server)
            self._gone(server, "removed")
            return
        self._heard_at_by_id[server] = time.monotonic()
        self.put(SERVERS, server, entry)
        if self._state_by_id.get(server) != entry["state"]:
            self._state_by_id[server] = entry["state"]
            record(entry["state"], server=server)

    def _gone(self, server: str, why: str) -> None:
        self._heard_at_by_id.pop(server, None)
        if self._state_by_id.pop(server, None) is not None:
            self.remove(SERVERS, server)
            record(why, server=server)


def main() -> None:
    """Serve until the commands end."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, help="IP:PORT")
    parser.add_argument("--heartbeat-ms", type=int, required=True)
    given = parser.parse_args()
    store = StoreProcess(given.listen, given.heartbeat_ms)
    store.start()
    gevent.spawn(store.lapse_for_good)
    record("started")
    follow(
        {
            "put": store.put,
            "remove": store.remove,
            "configure": lambda value: gevent.spawn(store.configure, value),
            "copy": store.keep_copy,
            "return_from_copy": store.return_from_copy,
            "forget_history": store.forget_history,
            "misbehave": store.misbehave,
        }
    )


if __name__ == "__main__":
    main()
