"""Stands in for the platform's list of VMs; the list lags."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import time  # noqa: E402
from typing import Any  # noqa: E402

from stand_ins.base import StandIn, body, parser, reply  # noqa: E402


class VmListStandIn(StandIn):
    """Live and leaving VMs; changes show after the lag."""

    def __init__(self, lag_ms: int) -> None:
        super().__init__()
        self.lag_s = lag_ms / 1000
        self.changes: list[tuple[float, dict]] = [(0.0, {"live": [], "leaving": []})]
        self.app.get("/vms", callback=self.read)
        self.app.post("/_vms", callback=self.change)

    def read(self) -> Any:
        """Return the list as it was one lag ago."""
        seen_until = time.monotonic() - self.lag_s
        return reply([data for at, data in self.changes if at <= seen_until][-1])

    def change(self) -> Any:
        """Replace the list."""
        self.changes.append((time.monotonic(), body()))
        return reply({})


if __name__ == "__main__":
    arguments = parser(__doc__)
    arguments.add_argument("--lag-ms", type=int, default=1000)
    given = arguments.parse_args()
    VmListStandIn(given.lag_ms).run(given.listen)
