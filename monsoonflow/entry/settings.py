"""The settings of one entry process and the bounds of its deployment."""

from __future__ import annotations

import attrs

from ..fleet.models import DEFAULT_CORES
from ..transport.connection_limit import default_max_sockets
from ..transport.held_bytes import DEFAULT_MEMORY_BYTES


def _validate_address(_instance: object, field: attrs.Attribute, value: str) -> None:
    host, separator, port = value.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"{field.name}: {value!r} is not IP:PORT")


def _validate_positive(_instance: object, field: attrs.Attribute, value: float) -> None:
    if value <= 0:
        raise ValueError(f"{field.name}: {value} must be above zero")


@attrs.frozen(slots=True)
class PeerBounds:
    """Bounds that the operator sets for a deployment.

    :param lease_ms: how long a cell lease may be held without a renewal.
    :param grace_ms: from the signal to stop to the end of the process.
    :param drain_ms: how soon a leaving server gets no new requests.
    :param fenced: whether runners refuse orders with an old fencing number.
    :param retry_ratio: retries for each request, fleet-wide, in each ``retry_window_ms``.
    :param retry_reserve: retries on top of that in each window.
    :param version_ms: how soon a new version of an adapter answers.
    :param address_ttl_ms: the longest time that an address answer may be cached.
    :param load_window_ms: the window in which loads of base models are counted.
    :param quota_window_ms: the window in which customers' use of their quotas is counted.
    :param quota_overshoot: share that a customer may use beyond its quota in each window.
    :param quota_slack: units that it may use in addition, summed over all nodes.
    :param thaw_ms: how long no orders are sent after the process was suspended.
    :param server_heartbeat_ms: how often backend servers report to the store.
    """

    lease_ms: int = attrs.field(default=3_000, validator=_validate_positive)
    grace_ms: int = attrs.field(default=8_000, validator=_validate_positive)
    drain_ms: int = attrs.field(default=2_000, validator=_validate_positive)
    fenced: bool = False
    retry_ratio: float = 0.2
    retry_reserve: float = 0.0
    retry_window_ms: int = attrs.field(default=10_000, validator=_validate_positive)
    version_ms: int = attrs.field(default=5_000, validator=_validate_positive)
    address_ttl_ms: int = attrs.field(default=5_000, validator=_validate_positive)
    load_window_ms: int = attrs.field(default=5_000, validator=_validate_positive)
    thaw_ms: int = 300
    quota_window_ms: int = attrs.field(default=8_000, validator=_validate_positive)
    quota_overshoot: float = 0.0
    quota_slack: float = 0.0
    server_heartbeat_ms: int = attrs.field(default=1_200, validator=_validate_positive)


@attrs.frozen(slots=True)
class EntrySettings:
    """The settings of one entry process.

    :param callers_address: where callers' requests arrive.
    :param ready_address: where the platform asks whether this process is ready.
    :param directory_address: where callers ask which address to use.
    :param peer_address: where other entry processes call this one (TCP).
    :param report_address: where their heartbeats arrive (UDP).
    :param metrics_address: where metrics are read.
    :param seeds: peer addresses of some nodes, which may be out of date.
    :param cores: how much processor time this process has, as announced in its node record.
    :param memory_bytes: how much memory this process may use; bounds what it holds for callers.
    :param max_sockets: how many sockets this process may have open.
    :param first_start: whether the whole system starts for the first time: no retries were spent
        before.
    """

    name: str
    ip: str
    data_centre: str
    callers_address: str = attrs.field(validator=_validate_address)
    ready_address: str = attrs.field(validator=_validate_address)
    directory_address: str = attrs.field(validator=_validate_address)
    peer_address: str = attrs.field(validator=_validate_address)
    report_address: str = attrs.field(validator=_validate_address)
    metrics_address: str = attrs.field(validator=_validate_address)
    store_address: str = attrs.field(validator=_validate_address)
    bounds: PeerBounds = PeerBounds()
    seeds: tuple[str, ...] = ()
    cores: float = DEFAULT_CORES
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    max_sockets: int = attrs.field(factory=default_max_sockets)
    first_start: bool = True

    def immutable_settings(self) -> tuple[str, ...]:
        """Return the settings that can't change while the process runs."""
        return (
            self.name,
            self.callers_address,
            self.ready_address,
            self.directory_address,
            self.peer_address,
            self.report_address,
            self.metrics_address,
        )
