"""Runs callers as a process: they ask where to go, keep connections and send requests."""

from __future__ import annotations

import argparse
import random
import time
from typing import Any, Final

import gevent
import orjson
from gevent import config

config.resolver = "block"

from monsoonflow.core.clock import MonotonicClock  # noqa: E402
from monsoonflow.transport.client import Answer, ConnectionPools, call  # noqa: E402
from stand_ins.commands import follow, record  # noqa: E402
from stand_ins.event_streams import read_events  # noqa: E402
from stand_ins.strict_client import StrictClient  # noqa: E402

RESOLVE_TIMEOUT_MS: Final = 1_000
RESOLVE_AGAIN_S: Final = 0.3
OTHER_CUSTOMER: Final = "another"
"""The customer that callers claim to be; only their key may decide."""


class Callers:
    """Sends requests of several routes at a steady pace.

    :param directories: addresses that tell where to go.
    :param routes: path, deadline in ms and headers of each kind of request, and whether its answers
        are streams.
    :param customer_by_key: API keys to send, each with its customer; ``None`` for an unknown key.
    """

    def __init__(
        self,
        name: str,
        directories: list[str],
        zone: str,
        host: str,
        routes: list[dict],
        customer_by_key: dict[str, str | None],
        seed: int,
    ) -> None:
        self._name = name
        self._directories = directories
        self._zone = zone
        self._host = host
        self._routes = routes
        self._customer_by_key = customer_by_key
        self._rng = random.Random(seed)
        self._pools = ConnectionPools(MonotonicClock())
        self._client = StrictClient()
        self._addresses: list[str] = []
        self._asked_at = 0.0
        self._ttl_s = 0.0
        self._number = 0

    def send_for_good(self, per_s: float) -> None:
        """Send requests, one after the other begins."""
        while True:
            gevent.spawn(self._one)
            gevent.sleep(self._rng.expovariate(per_s))

    def _one(self) -> None:
        address = self._address()
        if address is None:
            return
        self._number += 1
        request = f"{self._name}-{self._number}"
        route = self._rng.choice(self._routes)
        headers: dict[str, str] = {
            "Host": self._host,
            "X-Request-Id": request,
            "X-Deadline-Ms": str(route["deadline_ms"]),
            **route["headers"],
        }
        key = self._rng.choice(list(self._customer_by_key))
        headers["Authorization"] = f"Bearer {key}"
        headers["X-Tenant"] = OTHER_CUSTOMER
        if "adapters" in route:
            headers["X-Model"] = self._rng.choice(route["adapters"])
        began = time.monotonic()
        answer = self._client.call(
            address, "POST", route["path"], headers.items(), request.encode(), route["deadline_ms"]
        )
        status = answer.status if answer.is_complete else 0
        stream = read_events(answer.body).fields() if route.get("is_stream") else {}
        record(
            "ended",
            request=request,
            path=route["path"],
            status=status,
            head_status=answer.status,
            ending=answer.ending,
            own=answer.is_complete and request.encode() in answer.body,
            took_ms=round((time.monotonic() - began) * 1000),
            node=address.rpartition(":")[0],
            customer=self._customer_by_key[key],
            **stream,
        )
        if status == 0 and address in self._addresses:
            self._addresses.remove(address)

    def _address(self) -> str | None:
        if not self._addresses or time.monotonic() - self._asked_at > self._ttl_s:
            self._resolve()
        return self._rng.choice(self._addresses) if self._addresses else None

    def _resolve(self) -> None:
        self._asked_at, self._ttl_s = time.monotonic(), RESOLVE_AGAIN_S
        for directory in self._rng.sample(self._directories, min(3, len(self._directories))):
            target = f"/v1/resolve?name={self._host}&region=r&zone={self._zone}"
            answer = call(self._pools, directory, "GET", target, b"", RESOLVE_TIMEOUT_MS)
            if isinstance(answer, Answer) and answer.head.status == 200:
                found: dict[str, Any] = orjson.loads(answer.body)
                self._addresses, self._ttl_s = list(found["addresses"]), found["ttlS"]
                return


def main() -> None:
    """Send until the commands end."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--host", required=True)
    parser.add_argument("--directories", required=True, help="IP:PORT,...")
    parser.add_argument("--routes", required=True, help="JSON")
    parser.add_argument("--keys", required=True, help="JSON")
    parser.add_argument("--per-s", type=float, required=True)
    parser.add_argument("--seed", type=int, required=True)
    given = parser.parse_args()
    callers = Callers(
        given.name,
        given.directories.split(","),
        given.zone,
        given.host,
        orjson.loads(given.routes),
        orjson.loads(given.keys),
        given.seed,
    )
    gevent.spawn(callers.send_for_good, given.per_s)
    follow({})


if __name__ == "__main__":
    main()
