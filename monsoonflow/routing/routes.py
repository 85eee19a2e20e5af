"""Says which service a request goes to and what may be done with it on the way."""

from __future__ import annotations

import enum
import random

import attrs

from ..transport.models import MessageLimits


class RouteKind(enum.Enum):
    """What a route's requests are, as the operator declares them."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@attrs.frozen(slots=True)
class Target:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@attrs.frozen(slots=True)
class Route:
    """Where requests of one host and path prefix go.

    :param timeout_ms: the longest time that a caller is kept waiting.
    :param objective_ms: the latency objective.
    :param pause_ms: the longest pause between a stream's events that is still on time.
    :param first_event_by_ms: how long callers of a stream wait for its first event; ``None`` where
        that is not known.
    :param attempts: how many servers one request may be sent to.
    :param priority: 0 is the most urgent.
    :param resumable: whether a broken stream may go on at another server.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_ms: int = 10_000
    objective_ms: int = 1_000
    max_event_gap_ms: int = 1_000
    max_attempts: int = 1
    priority: int = 0
    is_resumable: bool = False
    first_event_timeout_ms: int | None = None

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may run more than once.

        That follows from what the operator declares, never from a method or a name.
        """
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.is_resumable
        )

    def choose_service(self, rng: random.Random) -> str:
        """Return a service, by the weights of a split route."""
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [target.weight for target in self.targets]
        return rng.choices(self.targets, weights)[0].service


@attrs.frozen(slots=True)
class BaseModel:
    """A base model that a service's runners may hold.

    :param memory_mb: of its weights.
    :param load_ms: from the weight store; ``disk_load_ms`` from the runner's own disk.
    :param adapter_mb: weights of one adapter.
    """

    name: str
    memory_mb: float
    load_ms: int
    disk_load_ms: int
    adapter_mb: float
    adapters: int = 0


@attrs.frozen(slots=True)
class EngineTraits:
    """What the runners of a service can hold and do.

    :param batch: requests that one runner works on at once.
    :param memory_tokens: KV cache of one runner.
    :param weights_mb: memory for weights and adapters together.
    :param adapter_slots: adapters that one runner holds.
    :param loads_per_s: loads of base models that the weight store allows over all runners.
    """

    max_batch_size: int
    memory_tokens: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    models: tuple[BaseModel, ...] = ()

    def find_model(self, name: str) -> BaseModel | None:
        """Return a base model by its name."""
        return next((model for model in self.models if model.name == name), None)


@attrs.frozen(slots=True)
class Service:
    """A group of equal backend servers.

    :param max_connections: connections that one server takes from all callers together.
    :param engine: set where the servers are model runners.
    """

    name: str
    max_connections: int = 100
    engine: EngineTraits | None = None


@attrs.frozen(slots=True)
class RouteTable:
    """One version of the routes and services in force.

    >>> route = Route("r", "h", "/a/", RouteKind.IDEMPOTENT, (Target("s", 1),))
    >>> deeper = Route("d", "h", "/a/b/", RouteKind.IDEMPOTENT, (Target("s", 1),))
    >>> table = RouteTable.build(1, [route, deeper], [Service("s")], MessageLimits())
    >>> table.match("H:80", "/a/b/c").name, table.match("h", "/a/c").name, table.match("h", "/x")
    ('d', 'r', None)
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[str, Service]
    limits: MessageLimits

    @classmethod
    def build(
        cls, version: int, routes: list[Route], services: list[Service], limits: MessageLimits
    ) -> RouteTable:
        """Return a table whose lookups are ready."""
        grouped: dict[str, list[Route]] = {}
        for route in routes:
            grouped.setdefault(route.host.lower(), []).append(route)
        by_host = {
            host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
            for host, found in grouped.items()
        }
        return cls(version, by_host, {service.name: service for service in services}, limits)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path.

        :param host: of the request, with or without a port.
        :param path: the raw path, not decoded.
        """
        name = host.partition(":")[0].lower()
        for route in self.routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def routes(self) -> list[Route]:
        """Return all routes."""
        return [route for found in self.routes_by_host.values() for route in found]
