"""Routes: which service a request goes to, and which retries and waits are allowed."""

from __future__ import annotations

import enum
import random

import attrs

from ..transport.models import MessageLimits
from .customers import Customer, Identity, Quota, Unauthorized


class RouteKind(enum.Enum):
    """Kind of a route's requests, as the operator declares it."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@attrs.frozen(slots=True)
class Target:
    """A service that gets a share of a route's requests, in proportion to its weight."""

    service: str
    weight: float


@attrs.frozen(slots=True)
class Route:
    """Destination and limits of the requests with one host and path prefix.

    :param timeout_ms: the longest time that a caller has to wait.
    :param objective_ms: the latency objective.
    :param max_event_gap_ms: the longest gap between a stream's events that is still on time.
    :param max_attempts: maximum number of servers that one request may be sent to.
    :param priority: 0 is the most urgent.
    :param is_resumable: whether a broken stream may be continued at another server.
    :param first_event_timeout_ms: how long callers of a stream wait for its first event; ``None``
        if unknown.
    :param is_public: whether it may be used without an API key.
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
    is_public: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once.

        Only the operator's declaration decides this, never the HTTP method or a name.
        """
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.is_resumable
        )

    def choose_service(self, rng: random.Random) -> str:
        """Return a service, chosen at random by weight if the route has several."""
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [target.weight for target in self.targets]
        return rng.choices(self.targets, weights)[0].service


@attrs.frozen(slots=True)
class BaseModel:
    """A base model that a service's runners may load.

    :param memory_mb: memory for its weights.
    :param load_ms: time to load it from the weight store.
    :param disk_load_ms: time to load it from the runner's own disk.
    :param adapter_mb: memory for the weights of one adapter.
    :param adapters: number of adapters of this model.
    """

    name: str
    memory_mb: float
    load_ms: int
    disk_load_ms: int
    adapter_mb: float
    adapters: int = 0


@attrs.frozen(slots=True)
class EngineTraits:
    """Capacity of the runners of a service.

    :param max_batch_size: maximum number of requests that one runner processes concurrently.
    :param memory_tokens: KV cache of one runner, in tokens.
    :param weights_mb: memory of one runner for base model weights and adapters together.
    :param adapter_slots: maximum number of adapters loaded in one runner.
    :param loads_per_s: maximum rate of base model loads from the weight store, over all runners.
    """

    max_batch_size: int
    memory_tokens: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    models: tuple[BaseModel, ...] = ()

    def find_model(self, name: str) -> BaseModel | None:
        """Return the base model with this name, if any."""
        return next((model for model in self.models if model.name == name), None)


@attrs.frozen(slots=True)
class Service:
    """A group of equivalent backend servers.

    :param max_connections: connections that one server accepts from all its clients together.
    :param engine: set if the servers are model runners.
    """

    name: str
    max_connections: int = 100
    engine: EngineTraits | None = None


class HostRoutes:
    """The routes of one host, by prefix.

    Every prefix begins and ends with a slash, so that the prefixes of a path are known: a
    comparison with each of two thousand routes takes 0.14 ms for each request.

    :param routes: if two have the same prefix, the first one counts.
    """

    def __init__(self, routes: list[Route]) -> None:
        self.routes = tuple(routes)
        self._route_by_prefix: dict[str, Route] = {}
        for route in routes:
            self._route_by_prefix.setdefault(route.prefix, route)
        self._max_prefix_length = max(map(len, self._route_by_prefix), default=0)

    def match(self, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a raw path, if any."""
        prefix = path[: self._max_prefix_length]
        while end := prefix.rfind("/") + 1:
            prefix = prefix[:end]
            route = self._route_by_prefix.get(prefix)
            if route is not None:
                return route
            prefix = prefix[:-1]
        return None


@attrs.frozen(slots=True)
class RouteTable:
    """One version of the configured routes, services and customers.

    :param customer_by_key: the customer of each API key; ``None`` if requests carry no keys.
    :param customer_names: all customers.
    :param quota_by_customer: the quotas of the customers that have one, by name.
    :param rank_offset_by_priority: what is added to a route's priority for a customer's priority.

    >>> route = Route("r", "h", "/a/", RouteKind.IDEMPOTENT, (Target("s", 1),))
    >>> deeper = Route("d", "h", "/a/b/", RouteKind.IDEMPOTENT, (Target("s", 1),))
    >>> table = RouteTable.build(1, [route, deeper], [Service("s")], MessageLimits())
    >>> table.match("H:80", "/a/b/c").name, table.match("h", "/a/c").name, table.match("h", "/x")
    ('d', 'r', None)
    """

    version: int
    routes_by_host: dict[str, HostRoutes]
    service_by_name: dict[str, Service]
    limits: MessageLimits
    customer_by_key: dict[str, Customer] | None = attrs.field(default=None, repr=False)
    rank_offset_by_priority: dict[int, int] = attrs.Factory(dict)
    quota_by_customer: dict[str, Quota] = attrs.Factory(dict)
    customer_names: frozenset[str] = frozenset()

    @classmethod
    def build(
        cls,
        version: int,
        routes: list[Route],
        services: list[Service],
        limits: MessageLimits,
        customer_by_key: dict[str, Customer] | None = None,
    ) -> RouteTable:
        """Return a table with the routes of each host indexed for lookup."""
        routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            routes_by_host.setdefault(route.host.lower(), []).append(route)
        route_levels = 1 + max([route.priority for route in routes], default=0)
        customers = set((customer_by_key or {}).values())
        priorities = sorted({customer.priority for customer in customers})
        return cls(
            version,
            {host: HostRoutes(of_host) for host, of_host in routes_by_host.items()},
            {service.name: service for service in services},
            limits,
            customer_by_key,
            {priority: index * route_levels for index, priority in enumerate(priorities)},
            {known.name: known.quota for known in customers if known.quota is not None},
            frozenset(known.name for known in customers),
        )

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path, if any.

        :param host: host of the request, with or without a port.
        :param path: the raw path, not decoded.
        """
        name = host.partition(":")[0].lower()
        host_routes = self.routes_by_host.get(name)
        return None if host_routes is None else host_routes.match(path)

    def identify(self, route: Route, key: str | None) -> Identity | Unauthorized | None:
        """Return whose request it is, or why it is not allowed; ``None`` without customers.

        A key that is sent to a public route counts if it is known.

        :param key: the API key that the request carries, if any.
        """
        if self.customer_by_key is None:
            return None
        customer = None if key is None else self.customer_by_key.get(key)
        if customer is not None or route.is_public:
            return Identity(customer)
        return Unauthorized("no API key" if key is None else "unknown API key")

    def priority_of(self, route: Route, customer: Customer | None) -> int:
        """Return the priority of a customer's requests: its own first, then the route's."""
        offset = 0 if customer is None else self.rank_offset_by_priority[customer.priority]
        return offset + route.priority

    def routes(self) -> list[Route]:
        """Return all routes."""
        return [route for of_host in self.routes_by_host.values() for route in of_host.routes]
