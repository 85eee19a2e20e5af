"""Client of the platform's list of VMs."""

from __future__ import annotations

from typing import Protocol

import attrs

from ..helpers.http import Answer, HttpClient
from .const import CALL_TIMEOUT_MS, UNREADABLE
from .models import Unavailable


@attrs.frozen(slots=True)
class VmList:
    """The addresses of the VMs as the platform lists them; the list lags behind.

    :param leaving: VMs that the platform is going to stop.
    """

    live: frozenset[str]
    leaving: frozenset[str]


class VmListReader(Protocol):
    """The platform's list of VMs."""

    def read(self) -> VmList | Unavailable:
        """Return the list."""


class HttpVmList:
    """A client of the VM list."""

    def __init__(self, base_url: str, timeout_ms: int = CALL_TIMEOUT_MS) -> None:
        self._base_url = base_url.rstrip("/")
        self._http = HttpClient(timeout_ms)

    def read(self) -> VmList | Unavailable:
        """Return the list."""
        result = self._http.call("GET", f"{self._base_url}/vms")
        if not isinstance(result, Answer) or result.status != 200:
            return Unavailable("no VM list")
        data = result.json_object()
        if data is None:
            return Unavailable(UNREADABLE)
        return VmList(frozenset(data["live"]), frozenset(data["leaving"]))
