"""Combines this package's parts into the platform integration of an entry process."""

from __future__ import annotations

from collections.abc import Callable

from ..core.adapter import AdapterRef
from ..core.clock import Clock
from ..core.server_life import ServerLife
from ..discovery.models import BackendServer
from ..entry.settings import EntrySettings
from ..orders.models import RunnerControl
from ..routing.routes import RouteTable
from ..transport.server import Handler
from . import configuration, directory, servers, store
from .engine import PlatformRunnerControl
from .headers import HeaderDialect
from .store_era import StoreEra


class RowDecoders:
    """Decodes the rows of the operator and of the backend servers."""

    operator_collection = configuration.OPERATOR_TABLE
    server_collection = servers.SERVERS_TABLE
    own_collection = store.OWN_TABLE

    def table(self, body: bytes) -> RouteTable | str:
        """Return the route table that a configuration's bytes hold, or why it is invalid."""
        return configuration.decode_route_table(body)

    def routes(self, key: str, body: bytes) -> RouteTable | str | None:
        """Return the route table, or why it is invalid; ``None`` for a row of another kind."""
        return (
            configuration.decode_route_table(body)
            if key == configuration.CONFIGURATION_KEY
            else None
        )

    def adapter_version(self, key: str, body: bytes) -> AdapterRef | str | None:
        """Return the operator's adapter version, or why it is invalid; ``None`` for another row."""
        if not key.startswith(configuration.ADAPTER_VERSION_PREFIX):
            return None
        return configuration.decode_adapter_version(body)

    def server(self, key: str, body: bytes) -> BackendServer | str:
        """Return a backend server, or why its row is invalid."""
        return servers.decode_server(key, body)


class PlatformOutside:
    """Provides an entry process with what depends on the platform."""

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._stores: list[store.PlatformStore] = []
        self._store_era = StoreEra(clock)
        self.dialect = HeaderDialect()
        self.decoders = RowDecoders()

    def raw_table(self) -> store.PlatformStore:
        """Return a client of the table service."""
        return self.feed()

    def feed(self) -> store.PlatformStore:
        """Return a change feed with its own connections."""
        client = store.PlatformStore(self._settings.store_address, self._clock, self._store_era)
        self._stores.append(client)
        return client

    def call_on_store_return(self, on_return: Callable[[], None]) -> None:
        """Have a function called when the store has returned from a copy."""
        self._store_era.call_on_return(on_return)

    def store_calls(self) -> int:
        """Return the number of calls made to the store."""
        return sum(client.call_count for client in self._stores)

    def runners(self, on_leaving: Callable[[ServerLife, str], None]) -> RunnerControl:
        """Return the client of the model runners."""
        return PlatformRunnerControl(self._clock, on_leaving)

    def readiness(self, ready: Callable[[], bool]) -> Handler:
        """Return the handler of readiness checks."""
        return directory.readiness_handler(ready)

    def directory(self, choose: Callable[[str | None], tuple[list[str], float]]) -> Handler:
        """Return the handler of address lookups."""
        return directory.directory_handler(choose)
