"""Makes HTTP calls whose outcome is a value; never retries by itself."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from typing import Any, Final, TypeAlias

import orjson
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    SSLError,
)

from .http_connections import new_pool_manager

JSON_TYPE: Final = "application/json"
NO_RETRY: Final = urllib3.Retry(0, redirect=0, raise_on_redirect=False, raise_on_status=False)


@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP answer, read until its end.

    :param is_end_stated: whether a length or chunks state where the body ends. Without them the
        body ends with the connection, and a part of it can't be told from the whole.
    """

    status: int
    body: bytes
    headers: Any = None
    is_end_stated: bool = True

    def json(self) -> Any:
        """Return the decoded body, or ``None`` when it is not JSON."""
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError:
            return None

    def json_object(self) -> dict[str, Any] | None:
        """Return the decoded body, or ``None`` when it is no JSON object or only a part of one."""
        data = self.json()
        return data if isinstance(data, dict) else None


@dataclass(frozen=True, slots=True)
class Lost:
    """No answer came.

    :param sent: whether the server may have received the request.
    """

    sent: bool
    reason: str


Result: TypeAlias = Answer | Lost


@dataclass(frozen=True, slots=True)
class Head:
    """The head of an answer whose body is still to be read."""

    status: int
    response: urllib3.BaseHTTPResponse


def describe(error: BaseException) -> str:
    """Return an error as short text without addresses of objects."""
    return type(error).__name__


def was_sent(error: BaseException) -> bool:
    """Tell whether a request may have reached the server before this error."""
    return not isinstance(error, NewConnectionError | ConnectTimeoutError | SSLError)


def _is_end_stated(headers: Any) -> bool:
    codings = headers.get("transfer-encoding", "").lower().split(",")
    return "content-length" in headers or codings[-1].strip() == "chunked"


class HttpClient:
    """Calls one kind of server with deadlines and a bounded pool.

    :param timeout_ms: the longest silence on a connection, from connecting to each read.
    :param tls: a context, where the servers speak TLS.
    """

    def __init__(
        self, timeout_ms: int, tls: ssl.SSLContext | None = None, pool_size: int = 64
    ) -> None:
        self._timeout = urllib3.Timeout(
            connect=min(timeout_ms, 2_000) / 1000, read=timeout_ms / 1000
        )
        self._tls = tls
        self._pool = self._new_pool(pool_size)

    def call(
        self,
        method: str,
        url: str,
        json: Any = None,
        headers: dict[str, str] | None = None,
        timeout_ms: int | None = None,
    ) -> Result:
        """Send a request and read the whole answer.

        :param json: the body, encoded as JSON.
        :param timeout_ms: in place of the client's own.
        """
        body = None if json is None else orjson.dumps(json)
        all_headers = {**(headers or {}), **({"Content-Type": JSON_TYPE} if body else {})}
        timeout = self._timeout if timeout_ms is None else urllib3.Timeout(timeout_ms / 1000)
        try:
            response = self._pool.request(
                method, url, body=body, headers=all_headers, timeout=timeout, retries=NO_RETRY
            )
        except (HTTPError, OSError) as error:
            return Lost(was_sent(error), describe(error))
        return Answer(
            response.status, response.data, response.headers, _is_end_stated(response.headers)
        )

    def open(
        self,
        method: str,
        url: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        fresh: bool = False,
    ) -> Head | Lost:
        """Send a request and return as soon as the head of the answer is there.

        A pooled connection may have gone silent: a request on it would be neither answered nor
        refused. What may not be repeated therefore asks for a fresh connection.

        :param fresh: use a new connection rather than a pooled one.
        """
        pool = self._new_pool(1) if fresh else self._pool
        try:
            response = pool.request(
                method,
                url,
                body=body,
                headers=headers or {},
                timeout=self._timeout,
                retries=NO_RETRY,
                preload_content=False,
            )
        except (HTTPError, OSError) as error:
            return Lost(was_sent(error), describe(error))
        return Head(response.status, response)

    def _new_pool(self, size: int) -> urllib3.PoolManager:
        extra = {"ssl_context": self._tls} if self._tls else {}
        return new_pool_manager(num_pools=64, maxsize=size, block=False, **extra)
