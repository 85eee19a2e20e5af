"""Serves WSGI applications with the strict HTTP server.

Operators' pages and the callers' interface of a node are bottle applications. A lenient server
could pass them a request that hides a second one, or another target than the one sent. Here, what
the strict parser rejects never reaches the application.
"""

from __future__ import annotations

import io
import ssl
import sys
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final, TypeAlias
from urllib.parse import unquote_to_bytes

from ..core.clock import MonotonicClock
from .const import BODILESS_STATUSES
from .models import Header, MessageLimits, Request
from .reply import Reply
from .server import HttpServer, RefusalFormatter, plain_text_refusal
from .sockets import split_address

Environ: TypeAlias = dict[str, Any]
Application: TypeAlias = Callable[..., Iterable[bytes]]

RAW_TARGET: Final = "monsoonflow.raw_target"
"""Key of the target as sent: WSGI decodes the path, which may then name another resource."""

RAW_HEADERS: Final = "monsoonflow.raw_headers"
"""Key of the headers in the order sent: WSGI merges headers of the same name."""

ENDS_WITH_CONNECTION: Final = "monsoonflow.ends_with_connection"
"""Key that an application sets to answer with neither a length nor chunks.

Only the end of the connection then marks the end of the body, as in an answer that is passed on.
"""

DEFAULT_LIMITS: Final = MessageLimits(head_bytes=32_768, body_bytes=1 << 28, idle_ms=60_000)

LINE_BYTES: Final = 512
"""What an application is given for each header, as text and under the names of WSGI."""


class AnswerCut(Exception):
    """Raised by an application that can't complete its answer.

    The connection is closed without the end of the answer, so that the caller sees that it is
    incomplete.
    """


def start_server(
    address: str,
    app: Application,
    tls: ssl.SSLContext | None = None,
    limits: MessageLimits = DEFAULT_LIMITS,
    refusal: RefusalFormatter = plain_text_refusal,
) -> HttpServer | None:
    """Start to serve an application.

    A caller that closes its connection does not end its handler: the application continues, and the
    caller may return for the rest of its answer.

    :returns: the server, or ``None`` when the address can't be bound.
    """
    handler = WsgiHandler(app, address, "https" if tls is not None else "http")
    clock = MonotonicClock()
    server = HttpServer(
        address, handler, lambda: limits, clock, tls, False, refusal, line_bytes=LINE_BYTES
    )
    return server if server.start() else None


class WsgiHandler:
    """Passes requests to a WSGI application and writes its answers."""

    def __init__(self, app: Application, address: str, scheme: str) -> None:
        self._app = app
        self._host, self._port = split_address(address)
        self._scheme = scheme

    def __call__(self, request: Request, reply: Reply) -> None:
        """Answer one request."""
        started: list[tuple[str, list[tuple[str, str]]]] = []

        def start_response(
            status: str, headers: list[tuple[str, str]], exc_info: object = None
        ) -> None:
            started[:] = [(status, headers)]

        environ = self._environ(request)
        pieces = self._app(environ, start_response)
        try:
            remaining = iter(pieces)
            first = next(remaining, b"")
            status, headers = started[0]
            ends_with_connection = ENDS_WITH_CONNECTION in environ
            self._write(request, reply, status, headers, first, remaining, ends_with_connection)
        except AnswerCut:
            return
        finally:
            close = getattr(pieces, "close", None)
            if close is not None:
                close()

    def _write(
        self,
        request: Request,
        reply: Reply,
        status: str,
        headers: list[tuple[str, str]],
        first: bytes,
        remaining: Iterator[bytes],
        ends_with_connection: bool,
    ) -> None:
        code, _, reason = status.partition(" ")
        raw_headers: list[Header] = []
        length: int | None = None
        for name, value in headers:
            if name.lower() == "content-length":
                length = int(value)
            else:
                raw_headers.append((name.encode("latin-1"), value.encode("latin-1")))
        if request.method == b"HEAD" or int(code) in BODILESS_STATUSES:
            reply.send_without_body(int(code), raw_headers, length, reason.encode("latin-1"))
            return
        reply.begin(
            int(code), raw_headers, length, reason.encode("latin-1"), first, ends_with_connection
        )
        for piece in remaining:
            reply.write(piece)
        reply.finish()

    def _environ(self, request: Request) -> Environ:
        path, _, query = request.target.partition(b"?")
        environ: Environ = {
            "REQUEST_METHOD": request.method.decode("latin-1"),
            "SCRIPT_NAME": "",
            "PATH_INFO": unquote_to_bytes(path).decode("latin-1"),
            "QUERY_STRING": query.decode("latin-1"),
            "SERVER_NAME": self._host,
            "SERVER_PORT": str(self._port),
            "SERVER_PROTOCOL": f"HTTP/{request.version}",
            "CONTENT_LENGTH": str(len(request.body)),
            "wsgi.version": (1, 0),
            "wsgi.url_scheme": self._scheme,
            "wsgi.input": io.BytesIO(request.body),
            "wsgi.errors": sys.stderr,
            "wsgi.multithread": True,
            "wsgi.multiprocess": False,
            "wsgi.run_once": False,
            RAW_TARGET: request.target,
            RAW_HEADERS: request.headers,
        }
        for name, value in request.headers:
            key = name.decode("latin-1")
            # WSGI replaces "-" by "_": a name with "_" could be mistaken for another header.
            if "_" not in key:
                _add_header(environ, key.upper().replace("-", "_"), value.decode("latin-1"))
        return environ


def _add_header(environ: Environ, name: str, value: str) -> None:
    if name == "CONTENT_TYPE":
        environ[name] = value
    elif name not in ("CONTENT_LENGTH", "TRANSFER_ENCODING"):
        key = f"HTTP_{name}"
        environ[key] = f"{environ[key]},{value}" if key in environ else value
