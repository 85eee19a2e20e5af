"""Reads the settings file that the platform writes for an entry process."""

from __future__ import annotations

import math
import os
import re
import tomllib
from collections.abc import Mapping
from typing import Any, Final

from ..entry.settings import EntrySettings, PeerBounds
from ..fleet.models import DEFAULT_CORES, bounded_cores
from ..helpers.settings import Setting, SettingError, one_of, pattern, whole
from ..transport.connection_limit import FILE_DESCRIPTORS, default_max_sockets
from ..transport.held_bytes import DEFAULT_MEMORY_BYTES

SCHEMA: Final = [
    Setting(
        "node-file",
        *pattern(re.compile(r"/.+"), "an absolute path"),
        "settings file that the platform writes for this process; read again when it changes",
        "/etc/monsoonflow/local.toml",
    ),
    Setting("metrics-port", *whole(1, 65_535), "port at which metrics are read", "9464"),
    Setting(
        "log-level",
        *one_of("debug", "info", "warning", "error"),
        "lowest level that is logged",
        "info",
    ),
]


class SettingsFile:
    """Reads the settings file, and reads it again when it has changed."""

    def __init__(self, path: str, metrics_port: int) -> None:
        self._path = path
        self._metrics_port = metrics_port
        self._last_read_stamp: tuple[int, int] | None = None

    def read(self) -> EntrySettings | SettingError:
        """Return the current settings, or what is wrong with them."""
        self._last_read_stamp = self._current_stamp()
        return read_settings(self._path, self._metrics_port)

    def reread(self) -> EntrySettings | SettingError | None:
        """Return the settings if the file has changed since it was last read, else ``None``."""
        return None if self._current_stamp() == self._last_read_stamp else self.read()

    def _current_stamp(self) -> tuple[int, int] | None:
        try:
            file_status = os.stat(self._path)
        except OSError:
            return None
        return file_status.st_mtime_ns, file_status.st_size


def read_settings(path: str, metrics_port: int) -> EntrySettings | SettingError:
    """Return the settings, or what is wrong with them in one line; unknown fields are ignored."""
    try:
        with open(path, "rb") as file:
            fields = tomllib.load(file)
    except OSError as error:
        return SettingError("settings-file", f"{path}: {error.strerror}")
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return SettingError("settings-file", f"{path}: {error}")
    try:
        return _decode(fields, metrics_port)
    except KeyError as error:
        return SettingError(str(error.args[0]), "missing in the settings file")
    except (TypeError, ValueError, AttributeError, IndexError) as error:
        return SettingError("settings-file", f"{path}: {error}")


def _decode(fields: Mapping[str, Any], metrics_port: int) -> EntrySettings:
    """Return the settings that the file's fields hold.

    Some of the platform's names need an explanation: ``front`` is the address for callers and
    ``control`` the one for peers; the first port of ``portRange`` receives heartbeats (UDP);
    ``budgetRatio`` and the like are the retry budget; loads of base models are counted within
    ``ceilingWindowS``; no orders are sent for ``thawMs`` after the process was suspended.

    :raises KeyError: if a required field is missing; other exceptions for invalid values.
    """
    listen_addresses = fields["listenAddrs"]
    bounds = fields.get("contractParams", {})
    platform = fields["platform"]
    port_range = fields["portRange"]
    return EntrySettings(
        name=str(fields["nodeName"]),
        ip=str(fields["bindIp"]),
        data_centre=str(fields["zone"]),
        callers_address=str(listen_addresses["front"]),
        ready_address=str(listen_addresses["ready"]),
        directory_address=str(listen_addresses["directory"]),
        peer_address=str(listen_addresses["control"]),
        report_address=f"{fields['bindIp']}:{int(port_range[0])}",
        metrics_address=f"{fields['bindIp']}:{metrics_port}",
        seeds=tuple(str(seed) for seed in fields.get("seedNodes", ())),
        store_address=str(platform["address"]),
        cores=_decode_cores(fields.get("limits")),
        memory_bytes=_decode_memory_bytes(fields.get("limits")),
        max_sockets=_decode_max_sockets(fields.get("limits")),
        first_start=fields.get("bootstrap") is True,
        bounds=PeerBounds(
            lease_ms=int(bounds.get("leaseMs", 3_000)),
            grace_ms=_to_ms(bounds.get("graceS", 8)),
            drain_ms=int(bounds.get("drainMs", 2_000)),
            fenced=bool(bounds.get("requireFence", False)),
            retry_ratio=float(bounds.get("budgetRatio", 0.2)),
            retry_reserve=float(bounds.get("budgetExtraRetries", 0)),
            retry_window_ms=_to_ms(bounds.get("budgetWindowS", 10)),
            version_ms=int(bounds.get("version_ms", 5_000)),
            address_ttl_ms=_to_ms(bounds.get("ttl_max_s", 5)),
            load_window_ms=_to_ms(bounds.get("ceilingWindowS", 5)),
            thaw_ms=int(bounds.get("thawMs", 300)),
            quota_window_ms=_to_ms(bounds.get("quotaWindowS", 8)),
            quota_overshoot=float(bounds.get("quotaOvershoot", 0)),
            quota_slack=float(bounds.get("quotaSlack", 0)),
            server_heartbeat_ms=int(fields.get("heartbeatMs", 1_200)),
        ),
    )


def _decode_cores(limits: object) -> float:
    """Return the processor time that the process gets, in cores; a default if it is not given.

    ``cpuCores`` is not a number of cores: it is the relative speed of the one core.
    """
    if not isinstance(limits, Mapping):
        return DEFAULT_CORES
    share, speed = (bounded_cores(limits.get(name)) for name in ("cpuShare", "cpuCores"))
    return bounded_cores(share * speed)


def _decode_memory_bytes(limits: object) -> int:
    """Return the memory that the process may use; a default if it is not given."""
    memory_mb = _positive_limit(limits, "memoryMb")
    return DEFAULT_MEMORY_BYTES if memory_mb is None else int(memory_mb * (1 << 20))


def _decode_max_sockets(limits: object) -> int:
    """Return how many sockets the process may open; some descriptors are reserved for files."""
    max_descriptors = _positive_limit(limits, "maxFds")
    allowed = default_max_sockets()
    if max_descriptors is None or max_descriptors <= FILE_DESCRIPTORS:
        return allowed
    return min(allowed, int(max_descriptors) - FILE_DESCRIPTORS)


def _positive_limit(limits: object, name: str) -> float | None:
    value = limits.get(name) if isinstance(limits, Mapping) else None
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return value if is_number and 0 < value < math.inf else None


def _to_ms(seconds: float) -> int:
    return round(float(seconds) * 1000)
