"""Stands in for the platform's object store."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

from typing import Any  # noqa: E402

import bottle  # noqa: E402

from stand_ins.base import StandIn, parser, raw_body, reply  # noqa: E402


class ObjectStandIn(StandIn):
    """Objects by key, in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.object_by_key: dict[str, bytes] = {}
        self.app.put("/objects/<key>", callback=self.put)
        self.app.get("/objects/<key>", callback=self.get)

    def put(self, key: str) -> Any:
        """Store an object."""
        self.object_by_key[key] = raw_body()
        self.lose_answer()
        return reply({})

    def get(self, key: str) -> Any:
        """Return an object."""
        if key not in self.object_by_key:
            return reply({}, 404)
        return bottle.HTTPResponse(self.object_by_key[key], 200)


if __name__ == "__main__":
    ObjectStandIn().run(parser(__doc__).parse_args().listen)
