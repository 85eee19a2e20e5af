"""Data of discovered backend servers."""

from __future__ import annotations

import attrs

from ..core.adapter import AdapterRef
from ..core.server_life import ServerLife


@attrs.frozen(slots=True)
class HeldModel:
    """A base model that a runner holds, with the adapters loaded beside it."""

    name: str
    version: int = 1
    adapters: tuple[AdapterRef, ...] = ()


@attrs.frozen(slots=True)
class BackendServer:
    """One life of a backend server, as it registers itself.

    :param life: its id and its birth; after a restart it is another life at the same address.
    :param slots: requests that it works on at once.
    :param leaves_in_ms: how long it goes on, where it says so.
    """

    life: ServerLife
    service: str
    address: str
    data_centre: str
    max_concurrent_requests: int = 1
    is_leaving: bool = False
    leaving_in_ms: int | None = None
    models: tuple[HeldModel, ...] = ()
