"""Stands in for the weight store: one load at a time at full speed, slower when shared."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import time  # noqa: E402
from typing import Any  # noqa: E402

import gevent  # noqa: E402

from stand_ins.base import StandIn, parser, reply  # noqa: E402

TICK_S = 0.005


class WeightStandIn(StandIn):
    """Serves weights at a rate that all readers share."""

    def __init__(self, loads_per_second: float) -> None:
        super().__init__()
        self.rate = loads_per_second
        self.readers = 0
        self.served = 0
        self.app.get("/weights/<name>", callback=self.weights)
        self.app.get("/_counts", callback=lambda: reply({"served": self.served}))

    def weights(self, name: str) -> Any:
        """Return an adapter's weights once its share of the rate has passed."""
        self.readers += 1
        done = 0.0
        before = time.monotonic()
        try:
            while done < 1.0:
                gevent.sleep(TICK_S)
                now = time.monotonic()
                done += (now - before) * self.rate / self.readers
                before = now
        finally:
            self.readers -= 1
        self.served += 1
        return reply({"name": name})


if __name__ == "__main__":
    arguments = parser(__doc__)
    arguments.add_argument("--loads-per-second", type=float, required=True)
    given = arguments.parse_args()
    WeightStandIn(given.loads_per_second).run(given.listen)
