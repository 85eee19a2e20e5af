"""Client of the object store over HTTP."""

from __future__ import annotations

from ..helpers.http import Answer, HttpClient, Lost
from .const import CALL_TIMEOUT_MS
from .models import Unavailable


class HttpObjectStore:
    """A client of the object store."""

    def __init__(self, base_url: str, timeout_ms: int = CALL_TIMEOUT_MS) -> None:
        self._base_url = base_url.rstrip("/")
        self._http = HttpClient(timeout_ms)

    def put(self, key: str, body: bytes) -> bool:
        """Store an object; ``False`` if it may not have been stored."""
        result = self._http.open("PUT", f"{self._base_url}/objects/{key}", body=body)
        if isinstance(result, Lost):
            return False
        result.response.drain_conn()
        result.response.release_conn()
        return result.status == 200

    def get(self, key: str) -> bytes | None | Unavailable:
        """Return an object; ``None`` if the store answered that it does not exist."""
        result = self._http.call("GET", f"{self._base_url}/objects/{key}")
        match result:
            case Answer(status=200, is_end_stated=False):
                return Unavailable("the end of the object is not stated")
            case Answer(status=200):
                return result.body
            case Answer(status=404):
                return None
            case Answer(status=status):
                return Unavailable(f"status {status}")
            case Lost(reason=reason):
                return Unavailable(reason)
