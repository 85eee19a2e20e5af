"""Puts the translation together for an entry process."""

from __future__ import annotations

from collections.abc import Callable

from ..core.adapter import AdapterRef
from ..core.clock import Clock
from ..discovery.models import BackendServer
from ..entry.settings import EntrySettings
from ..orders.models import RunnerControl
from ..routing.routes import RouteTable
from ..transport.server import Handler
from . import configuration, directory, servers, store
from .engine import PlatformRunnerControl
from .headers import HeaderDialect


class RowDecoders:
    """Decodes the rows of the operator and of the servers."""

    operator_collection = configuration.OPERATOR_TABLE
    server_collection = servers.SERVERS_TABLE
    own_collection = store.OWN_TABLE

    def table(self, body: bytes) -> RouteTable | str:
        """Return the routes that a row's bytes hold, or why they can't be used."""
        return configuration.decode_route_table(body)

    def routes(self, key: str, body: bytes) -> RouteTable | str | None:
        """Return the routes; a text says why not; ``None``: the row holds something else."""
        return (
            configuration.decode_route_table(body)
            if key == configuration.CONFIGURATION_KEY
            else None
        )

    def adapter_version(self, key: str, body: bytes) -> AdapterRef | str | None:
        """Return a named adapter version; a text says why not; ``None``: something else."""
        if not key.startswith(configuration.ADAPTER_VERSION_PREFIX):
            return None
        return configuration.decode_adapter_version(body)

    def server(self, key: str, body: bytes) -> BackendServer | str:
        """Return a backend server's entry; a text says why not."""
        return servers.decode_server(key, body)


class PlatformOutside:
    """The platform, as an entry process sees it."""

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._stores: list[store.PlatformStore] = []
        self.dialect = HeaderDialect()
        self.decoders = RowDecoders()

    def raw_table(self) -> store.PlatformStore:
        """Return the table service."""
        return self.feed()

    def feed(self) -> store.PlatformStore:
        """Return a change feed with a connection of its own."""
        found = store.PlatformStore(self._settings.store_address, self._clock)
        self._stores.append(found)
        return found

    def store_calls(self) -> int:
        """Return how many calls to the store were made."""
        return sum(found.call_count for found in self._stores)

    def runners(self) -> RunnerControl:
        """Return the way to the runners."""
        return PlatformRunnerControl(self._clock)

    def readiness(self, ready: Callable[[], bool]) -> Handler:
        """Return the handler of the readiness address."""
        return directory.readiness_handler(ready)

    def directory(self, choose: Callable[[str | None], tuple[list[str], float]]) -> Handler:
        """Return the handler of the directory address."""
        return directory.directory_handler(choose)
