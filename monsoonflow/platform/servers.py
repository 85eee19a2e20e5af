"""Decodes the rows of backend servers and the fields that runner reports share with them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import msgspec

from ..core.adapter import AdapterRef
from ..core.server_life import ServerLife
from ..discovery.models import BackendServer, HeldModel
from ..helpers.strict import read
from .schema import HeldModelFields, ServerFields

SERVERS_TABLE = "servers"
MAX_PORT: Final = 65_535
MAX_SOFTWARE_VERSION_CHARS: Final = 100
MAX_VERSION_DIGITS: Final = 18
"""More than any adapter has; ``int`` refuses numbers of thousands of digits."""


def decode_server(server_id: str, body: bytes) -> BackendServer | str:
    """Return a backend server, or why its row is invalid."""
    fields = read(body, ServerFields)
    if isinstance(fields, str):
        return fields
    if int(fields.address.rpartition(":")[2]) > MAX_PORT:
        return f"port out of range: {fields.address}"
    models = decode_held_models(fields.models)
    if isinstance(models, str):
        return models
    return BackendServer(
        life=to_server_life(server_id, fields.born),
        service=fields.service,
        address=fields.address,
        data_centre=fields.zone,
        max_concurrent_requests=fields.slots,
        is_leaving=fields.state != "ready",
        leaving_in_ms=None if fields.remaining_ms is None else round(fields.remaining_ms),
        models=models,
        software_version=_known_version(fields.version),
    )


def _known_version(version: str) -> str | None:
    """Return a server's software version; ``None`` if nodes can't tell each other of it."""
    is_usable = 0 < len(version) <= MAX_SOFTWARE_VERSION_CHARS and version.isprintable()
    return version if is_usable else None


def to_server_life(server_id: str, born: int | msgspec.UnsetType) -> ServerLife:
    """Return the life (run of the process) of a server; ``born`` is its start, if sent."""
    return ServerLife.of(server_id, None if born is msgspec.UNSET else born)


def decode_held_models(entries: Iterable[HeldModelFields]) -> tuple[HeldModel, ...] | str:
    """Return the base models that a runner holds, or why an adapter of them is invalid."""
    models = []
    for entry in entries:
        refs = [parse_adapter_ref(f"{entry.name}/{adapter}") for adapter in entry.adapters]
        error = next((ref for ref in refs if isinstance(ref, str)), None)
        if error is not None:
            return error
        models.append(HeldModel(entry.name, entry.version, tuple(refs)))
    return tuple(models)


def parse_adapter_ref(text: str) -> AdapterRef | str:
    """Return the adapter version ``MODEL/NAME@VERSION``, version 1 if it has no ``@VERSION``.

    >>> str(parse_adapter_ref("m/a3")), parse_adapter_ref("m/a3@x")
    ('m/a3@1', 'invalid adapter version: m/a3@x')
    >>> isinstance(parse_adapter_ref("m/a3@" + "9" * 5_000), str)
    True
    """
    name, separator, version = text.partition("@")
    if not separator:
        return AdapterRef(name, 1)
    if not (version.isascii() and version.isdigit() and len(version) <= MAX_VERSION_DIGITS):
        return f"invalid adapter version: {text}"
    return AdapterRef(name, int(version))
