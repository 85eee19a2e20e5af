"""Stands in for the platform's transactional table service."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

from typing import Any  # noqa: E402

import bottle  # noqa: E402
from sortedcontainers import SortedDict  # noqa: E402

from stand_ins.base import StandIn, body, parser, reply  # noqa: E402


class TableStandIn(StandIn):
    """Rows with versions; conditional transactions."""

    def __init__(self) -> None:
        super().__init__()
        self.rows: SortedDict[str, tuple[int, dict]] = SortedDict()
        self.sequence = 0
        self.reads = 0
        self.writes = 0
        self.app.get("/row", callback=self.row)
        self.app.get("/rows", callback=self.scan)
        self.app.post("/commit", callback=self.commit)
        self.app.get(
            "/_counts", callback=lambda: reply({"reads": self.reads, "writes": self.writes})
        )

    def row(self) -> Any:
        """Return one row."""
        self.reads += 1
        key = bottle.request.query.key
        if key not in self.rows:
            return reply({}, 404)
        version, value = self.rows[key]
        return reply({"key": key, "version": version, "value": value})

    def scan(self) -> Any:
        """Return the rows under a prefix, after a key."""
        self.reads += 1
        prefix, after = bottle.request.query.prefix, bottle.request.query.after
        found = []
        for key in self.rows.irange(max(prefix, after)):
            if not key.startswith(prefix):
                break
            if key > after:
                version, value = self.rows[key]
                found.append({"key": key, "version": version, "value": value})
        return reply({"rows": found})

    def commit(self) -> Any:
        """Apply a transaction if all its conditions hold."""
        self.writes += 1
        data = body()
        for key, version in data["conditions"].items():
            if self.rows.get(key, (0, {}))[0] != version:
                return reply({}, 409)
        self.sequence += 1
        for key, value in data["puts"].items():
            self.rows[key] = (self.sequence, value)
        for key in data["deletes"]:
            self.rows.pop(key, None)
        self.lose_answer()
        return reply({"version": self.sequence})


if __name__ == "__main__":
    TableStandIn().run(parser(__doc__).parse_args().listen)
