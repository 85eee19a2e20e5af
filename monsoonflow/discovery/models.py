"""Data models of discovered backend servers."""

from __future__ import annotations

import attrs

from ..core.adapter import AdapterRef
from ..core.server_life import ServerLife


@attrs.frozen(slots=True)
class HeldModel:
    """A base model that is loaded in a runner, with the adapters loaded for it."""

    name: str
    version: int = 1
    adapters: tuple[AdapterRef, ...] = ()


@attrs.frozen(slots=True)
class BackendServer:
    """One life of a backend server, that is one run of its process, as it registers itself.

    :param life: the server's id and the birth time of its process. After a restart the server has a
        new life at the same address.
    :param max_concurrent_requests: number of requests that it processes concurrently.
    :param is_leaving: whether it has announced that it is shutting down.
    :param leaving_in_ms: time until it shuts down, if announced.
    :param software_version: of its program, not of the models that it holds; ``None`` if unknown.
    """

    life: ServerLife
    service: str
    address: str
    data_centre: str
    max_concurrent_requests: int = 1
    is_leaving: bool = False
    leaving_in_ms: int | None = None
    models: tuple[HeldModel, ...] = ()
    software_version: str | None = None


@attrs.frozen(slots=True)
class DepartedServer:
    """A life of a server that has left, as nodes announce it to each other.

    :param is_final: whether the server said so itself, or has another life by now; ``None`` from a
        node of an earlier release, which does not tell.
    :param age_ms: age of the evidence.
    """

    life: ServerLife
    is_final: bool | None = None
    age_ms: int = 0
