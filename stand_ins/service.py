"""Stands in for a plain service: records every call that it runs."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import secrets  # noqa: E402
from typing import Any  # noqa: E402

import bottle  # noqa: E402
import gevent  # noqa: E402

from stand_ins.base import StandIn, parser, raw_body, reply  # noqa: E402


class ServiceStandIn(StandIn):
    """Answers each call with what it got, and counts runs by case."""

    def __init__(self, work_ms: int) -> None:
        super().__init__()
        self.boot_id = secrets.token_hex(4)
        self.work_s = work_ms / 1000
        self.active = 0
        self.leaving = False
        self.runs_by_case: dict[str, int] = {}
        self.app.get("/health", callback=self.health)
        self.app.get("/_runs", callback=lambda: reply(self.runs_by_case))
        self.app.post("/_leave", callback=self.leave)
        self.app.route("/<path:path>", ["GET", "POST", "PUT", "DELETE"], self.call)

    def health(self) -> Any:
        """Return the load report."""
        return reply({"boot_id": self.boot_id, "active": self.active, "leaving": self.leaving})

    def leave(self) -> Any:
        """Say from now on that this server leaves."""
        self.leaving = True
        return reply({})

    def call(self, path: str) -> Any:
        """Run one call."""
        case = bottle.request.get_header("X-Case", path)
        sent = raw_body()
        self.runs_by_case[case] = self.runs_by_case.get(case, 0) + 1
        self.active += 1
        gevent.sleep(self.work_s)
        self.active -= 1
        self.lose_answer()
        return reply({"path": path, "bytes": len(sent), "case": case})


if __name__ == "__main__":
    arguments = parser(__doc__)
    arguments.add_argument("--work-ms", type=int, default=5)
    given = arguments.parse_args()
    ServiceStandIn(given.work_ms).run(given.listen)
