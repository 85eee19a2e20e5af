"""Client of the table service over HTTP."""

from __future__ import annotations

from urllib.parse import quote

from ..helpers.http import Answer, HttpClient, Lost
from .const import CALL_TIMEOUT_MS, UNREADABLE
from .models import CommitResult, Committed, Conflict, Row, Transaction, Unavailable


class HttpTable:
    """A client of the table service with timeouts; each call is sent once.

    :ivar reads: number of reads sent.
    :ivar writes: number of commits sent.
    """

    def __init__(self, base_url: str, timeout_ms: int = CALL_TIMEOUT_MS) -> None:
        self._base_url = base_url.rstrip("/")
        self._http = HttpClient(timeout_ms)
        self.reads = 0
        self.writes = 0

    def get(self, key: str) -> Row | None | Unavailable:
        """Return a row; ``None`` if the service answered that it does not exist."""
        self.reads += 1
        result = self._http.call("GET", f"{self._base_url}/row?key={quote(key, safe='')}")
        match result:
            case Answer(status=200):
                entry = result.json_object()
                return Unavailable(UNREADABLE) if entry is None else _row(entry)
            case Answer(status=404):
                return None
            case Answer(status=status):
                return Unavailable(f"status {status}")
            case Lost(reason=reason):
                return Unavailable(reason)

    def scan(self, prefix: str, after: str = "") -> list[Row] | Unavailable:
        """Return the rows with a key prefix in key order, only those after ``after``."""
        self.reads += 1
        query = f"prefix={quote(prefix, safe='')}&after={quote(after, safe='')}"
        result = self._http.call("GET", f"{self._base_url}/rows?{query}")
        match result:
            case Answer(status=200):
                data = result.json_object()
                if data is None:
                    return Unavailable(UNREADABLE)
                return [_row(entry) for entry in data["rows"]]
            case Answer(status=status):
                return Unavailable(f"status {status}")
            case Lost(reason=reason):
                return Unavailable(reason)

    def era(self) -> int:
        """Return 0: the service never loses rows that it has confirmed."""
        return 0

    def commit_once(self, transaction: Transaction) -> CommitResult:
        """Send a transaction once, without a retry."""
        self.writes += 1
        operation_field = {"op": transaction.operation_id}
        body = {
            "conditions": transaction.conditions,
            "puts": {key: {**value, **operation_field} for key, value in transaction.puts.items()},
            "deletes": list(transaction.deletes),
        }
        result = self._http.call("POST", f"{self._base_url}/commit", json=body)
        match result:
            case Answer(status=200):
                data = result.json_object()
                if data is None:
                    return Unavailable(UNREADABLE, ambiguous=True)
                return Committed(data["version"])
            case Answer(status=409):
                return Conflict()
            case Answer(status=429 | 503):
                return Unavailable("refused for now")
            case Answer(status=status):
                return Unavailable(f"status {status}", ambiguous=True)
            case Lost(sent=sent, reason=reason):
                return Unavailable(reason, ambiguous=sent)


def _row(entry: dict) -> Row:
    return Row(entry["key"], entry["version"], entry["value"])
