"""The settings of a node."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

import attrs

from ..core.adapter import NAME_PATTERN
from ..helpers.settings import (
    URL_PATTERN,
    Setting,
    SettingError,
    Value,
    address,
    decimal,
    one_of,
    pattern,
    resolve,
    whole,
)

_ANY = (lambda text: text), "any text"
_NAME = pattern(NAME_PATTERN, "a name of letters, digits, dots, dashes and underscores")
_URL = pattern(URL_PATTERN, "a URL such as http://10.0.0.9:8500")
_TOKEN = pattern(re.compile(r"[\x21-\x7e]{16,256}"), "16 to 256 printable characters")

SCHEMA: list[Setting] = [
    Setting("node", *_NAME, "name of this node, unique in the fleet"),
    Setting("data-centre", *_NAME, "data centre that this node is in"),
    Setting("http", *address(), "where callers and operators connect"),
    Setting("rpc", *address(), "where other nodes connect for control"),
    Setting("table", *_URL, "the platform's table service"),
    Setting("objects", *_URL, "the platform's object store"),
    Setting("vms", *_URL, "the platform's list of VMs"),
    Setting(
        "loads-per-second",
        *decimal(0.001, 10_000),
        "loads that the weight store allows the whole fleet; has no default, since it is the "
        "store's",
        unit="1/s",
    ),
    Setting("operator-token", *_TOKEN, "bearer token of operators", secret=True),
    Setting("node-token", *_TOKEN, "token that nodes prove themselves with", secret=True),
    Setting("lease-ms", *whole(300, 60_000), "how long a lease lasts", "5000", "ms"),
    Setting(
        "lease-margin-ms",
        *whole(50, 10_000),
        "what a holder gives up early and a claimant waits longer",
        "500",
        "ms",
    ),
    Setting(
        "max-outage-ms",
        *whole(1_000, 3_600_000),
        "longest outage of the table service that leases are carried over by promises",
        "300000",
        "ms",
    ),
    Setting("heartbeat-ms", *whole(50, 10_000), "time between heartbeats", "2000", "ms"),
    Setting("poll-ms", *whole(50, 10_000), "time between reads of the table service", "1000", "ms"),
    Setting(
        "silence-ms", *whole(200, 60_000), "silence after which a connection is lost", "4000", "ms"
    ),
    Setting(
        "report-lag-ms",
        *whole(0, 60_000),
        "longest lag of an engine's load report",
        "2000",
        "ms",
    ),
    Setting(
        "config-bound-ms",
        *whole(1_000, 600_000),
        "a node that heard from neither table nor peers for longer takes no new work",
        "10000",
        "ms",
    ),
    Setting("stall-weight", *decimal(0, 1000), "weight of waiting when loads are ordered", "1"),
    Setting("batch-weight", *decimal(0, 1000), "weight of batching when loads are ordered", "1"),
    Setting(
        "wait-bound-ms",
        *whole(100, 600_000),
        "wait after which the oldest goes first",
        "10000",
        "ms",
    ),
    Setting(
        "close-after-ms",
        *whole(50, 600_000),
        "wait after which a busy adapter slot is drained for a waiter",
        "1500",
        "ms",
    ),
    Setting(
        "spread-fill",
        *decimal(0, 1),
        "how full batches may be on average before another runner is used; 0 uses all runners",
        "0",
    ),
    Setting(
        "spread-stall-ms",
        *whole(1, 600_000),
        "mean load stall above which another runner is used",
        "250",
        "ms",
    ),
    Setting("max-queue", *whole(1, 100_000), "waiting requests per runner", "512"),
    Setting("max-per-customer", *whole(1, 100_000), "requests of a customer at one time", "1024"),
    Setting(
        "max-body-bytes", *whole(1_024, 1 << 28), "largest completion request", "1048576", "bytes"
    ),
    Setting(
        "default-deadline-ms",
        *whole(100, 3_600_000),
        "deadline of a request without one",
        "60000",
        "ms",
    ),
    Setting(
        "keep-keys-ms",
        *whole(1_000, 86_400_000),
        "how long an ended request's key is kept",
        "3600000",
        "ms",
    ),
    Setting(
        "keep-answers-ms",
        *whole(1_000, 3_600_000),
        "how long an ended answer can be resumed",
        "30000",
        "ms",
    ),
    Setting(
        "address-ttl-ms",
        *whole(500, 600_000),
        "how long callers keep an address answer",
        "5000",
        "ms",
    ),
    Setting("stop-ms", *whole(1_000, 3_600_000), "longest graceful shutdown", "600000", "ms"),
    Setting(
        "log-level", *one_of("debug", "info", "warning", "error"), "least severe log line", "info"
    ),
    Setting("tls-cert", *_ANY, "certificate chain file for both ports; empty for none", ""),
    Setting("tls-key", *_ANY, "private key file; empty for none", ""),
    Setting("tls-authority", *_ANY, "authority that nodes' certificates are checked by", ""),
]


@attrs.frozen(slots=True)
class NodeSettings:
    """Holds the checked settings; read by attribute, trusted inside."""

    values: dict[str, Value]

    def __getitem__(self, name: str) -> Any:
        return self.values[name].value


def load_settings(
    flags: Mapping[str, str | None], environ: Mapping[str, str]
) -> NodeSettings | SettingError:
    """Return the node's settings, or the first that is wrong.

    :param flags: values by setting name; ``None`` where the flag was not given.
    :param environ: the environment variables.
    """
    values = resolve(SCHEMA, flags, environ)
    if isinstance(values, SettingError):
        return values
    settings = NodeSettings(values)
    return _contradiction(settings) or settings


def _contradiction(settings: NodeSettings) -> SettingError | None:
    if settings["lease-margin-ms"] * 3 > settings["lease-ms"]:
        return SettingError("lease-margin-ms", "must be at most a third of --lease-ms")
    if settings["poll-ms"] * 2 > settings["lease-ms"]:
        return SettingError("poll-ms", "must be at most half of --lease-ms")
    if settings["heartbeat-ms"] * 2 > settings["silence-ms"]:
        return SettingError("heartbeat-ms", "must be at most half of --silence-ms")
    if settings["http"] == settings["rpc"]:
        return SettingError("rpc", "must differ from --http")
    if bool(settings["tls-cert"]) != bool(settings["tls-key"]):
        return SettingError("tls-key", "--tls-cert and --tls-key go together")
    if bool(settings["tls-authority"]) != bool(settings["tls-cert"]):
        return SettingError("tls-authority", "goes together with --tls-cert and --tls-key")
    return None
