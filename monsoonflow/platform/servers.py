"""Decodes the entries of backend servers."""

from __future__ import annotations

from typing import Any

import orjson

from ..core.adapter import AdapterRef
from ..discovery.models import BackendServer, HeldModel

SERVERS_TABLE = "servers"


def decode_server(server_id: str, body: bytes) -> BackendServer | str:
    """Return a server's entry, or why it can't be used."""
    try:
        data = orjson.loads(body)
        leaves_in = data.get("remainingMs")
        return BackendServer(
            server_id=server_id,
            service=str(data["service"]),
            address=str(data["address"]),
            data_centre=str(data.get("zone", "")),
            slots=int(data.get("slots", 1)),
            leaving=data.get("state", "ready") != "ready",
            leaves_in_ms=None if leaves_in is None else int(leaves_in),
            models=held_models(data.get("models") or ()),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return repr(error)


def held_models(entries: Any) -> tuple[HeldModel, ...]:
    """Return the models that a runner says it holds."""
    return tuple(
        HeldModel(
            str(entry["name"]),
            int(entry.get("version", 1)),
            tuple(_adapter(str(entry["name"]), str(text)) for text in entry.get("adapters") or ()),
        )
        for entry in entries
    )


def _adapter(model: str, text: str) -> AdapterRef:
    name, _, version = text.partition("@")
    return AdapterRef(f"{model}/{name}", int(version or 1))
