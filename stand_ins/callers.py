"""Runs callers as a process: they ask where to go, keep connections and send requests."""

from __future__ import annotations

import argparse
import random
import time
from collections.abc import Sequence
from functools import partial
from typing import Any, Final

import attrs
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


MAX_RESUMES: Final = 3
RESUME_PAUSE_S: Final = (0.02, 0.3)
"""How often callers take up a stream that broke off, and after which pause."""

MIN_LEFT_MS: Final = 100
"""With less time left, callers do not come back."""

FINAL_STATUSES: Final = frozenset({200, 400, 401, 404, 413, 431})
"""After a complete answer with one of these, callers do not come back."""


@attrs.frozen(slots=True)
class Sending:
    """What a caller wants, over all of its tries.

    :param first: the name of the first try.
    :param until: when it gives up, on the monotonic clock.
    """

    first: str
    route: dict[str, Any]
    headers: dict[str, str]
    customer: str | None
    until: float

    def left_ms(self) -> int:
        """Return how much time is left."""
        return round((self.until - time.monotonic()) * 1000)


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
        self._parts_rng = random.Random(seed)
        self._pools = ConnectionPools(MonotonicClock())
        self._client = StrictClient()
        self._addresses: list[str] = []
        self._asked_at = 0.0
        self._ttl_s = 0.0
        self._number = 0

    def send_for_good(self, per_s: float) -> None:
        """Send requests, one after the other begins."""
        while True:
            gevent.spawn(self.send_one)
            gevent.sleep(self._rng.expovariate(per_s))

    def rush(self, customer: str, per_s: float, for_s: float, adapters: list[str]) -> None:
        """Send additional requests of one customer for some seconds.

        :param per_s: additional requests per second.
        :param adapters: requested instead of those of the routes.
        """
        keys = [key for key, of in self._customer_by_key.items() if of == customer]
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            gevent.spawn(self.send_one, keys, adapters)
            gevent.sleep(self._rng.expovariate(per_s))

    def reset(self, ip: str) -> None:
        """Reset the connections to a node on which answers are due."""
        self._client.reset(ip)

    def send_one(self, keys: Sequence[str] = (), adapters: Sequence[str] = ()) -> None:
        """Send a request of any kind; take up its stream again if it breaks off.

        :param keys: to choose from; all keys if empty.
        :param adapters: to choose from instead of those of the route.
        """
        address = self._address()
        if address is None:
            return
        route = self._rng.choice(self._routes)
        key = self._rng.choice(list(keys or self._customer_by_key))
        first = self._next_name()
        headers = {
            "Host": self._host,
            "Authorization": f"Bearer {key}",
            "X-Tenant": OTHER_CUSTOMER,
            **route["headers"],
        }
        if "adapters" in route:
            headers["X-Model"] = self._rng.choice(list(adapters or route["adapters"]))
        if "parts" in route:
            headers["X-Prompt-Prefix"] = self._prompt_prefix(route["parts"], first)
        until = time.monotonic() + route["deadline_ms"] / 1000
        sending = Sending(first, route, headers, self._customer_by_key[key], until)
        last_event = self._try(sending, address, first, 0)
        for _ in range(MAX_RESUMES):
            if not last_event:
                return
            gevent.sleep(self._rng.uniform(*RESUME_PAUSE_S))
            address = self._address()
            if address is None or sending.left_ms() < MIN_LEFT_MS:
                return
            last_event = self._try(sending, address, self._next_name(), last_event)

    def _prompt_prefix(self, parts: dict[str, Any], own: str) -> str:
        """Return the parts of a prompt; those that may turn bad are in a share of the prompts."""
        rng = self._parts_rng
        kind = "bad" if rng.random() < parts["bad_share"] else "shared"
        chosen = (parts["first"], rng.choice(parts[kind]), own)
        return ",".join(f"{part}:40" for part in chosen)

    def _next_name(self) -> str:
        self._number += 1
        return f"{self._name}-{self._number}"

    def _try(self, sending: Sending, address: str, name: str, after: int) -> int:
        """Send a request once and write down what came of it.

        :param after: the last whole event of the tries before; 0 for none.
        :return: the last whole event of a stream that may be taken up again; 0 for none.
        """
        began = time.monotonic()
        route, first, left_ms = sending.route, sending.first, sending.left_ms()
        told = {**sending.headers, "X-Request-Id": name, "X-Deadline-Ms": str(left_ms)}
        if after:
            told |= {"Last-Event-Id": str(after), "Resumes": first}
        answer = self._client.call(
            address, "POST", route["path"], told.items(), first.encode(), left_ms
        )
        status = answer.status if answer.is_complete else 0
        is_stream = route.get("is_stream", False)
        stream = read_events(answer.body)
        is_resumed_at_end = after > 0 and not answer.body
        record(
            "ended",
            request=name,
            first=first,
            after=after,
            path=route["path"],
            status=status,
            head_status=answer.status,
            ending=answer.ending,
            own=answer.is_complete and (name.encode() in answer.body or is_resumed_at_end),
            took_ms=round((time.monotonic() - began) * 1000),
            node=address.rpartition(":")[0],
            customer=sending.customer,
            **(stream.fields() if is_stream else {}),
        )
        if status == 0 and address in self._addresses:
            self._addresses.remove(address)
        if not is_stream or status in FINAL_STATUSES:
            return 0
        return max([after, *(number for number in stream.ids if number is not None)])

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
    follow({"reset": callers.reset, "rush": partial(gevent.spawn, callers.rush)})


if __name__ == "__main__":
    main()
