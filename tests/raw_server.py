"""A server on loopback that sends given bytes and closes, as servers whose answers break off do."""

from __future__ import annotations

import contextlib
import socket
import threading

from monsoonflow.transport.sockets import RESET_AT_CLOSE

HEAD = b"HTTP/1.1 200 OK\r\n"
WITH_CHUNKS = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
WITHOUT_LENGTH = HEAD + b"\r\n"


def with_length(body: bytes, stated: int | None = None) -> bytes:
    """Return an answer with a length, by default that of the body."""
    return HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body) if stated is None else stated, body)


def chunk(data: bytes) -> bytes:
    """Return data as one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def invalid_answers(body: bytes) -> dict[str, bytes]:
    """Return answers with a whole body whose heads are not valid."""
    answer = with_length(body)
    chunks = WITH_CHUNKS + chunk(body) + b"0\r\n\r\n"
    return {
        "status 000": answer.replace(b"200", b"000", 1),
        "status 700": answer.replace(b"200", b"700", 1),
        "another protocol": answer.replace(b"HTTP", b"RTSP", 1),
        "another version": answer.replace(b"1.1", b"2.0", 1),
        "a control byte in the reason": answer.replace(b"OK", b"O\x07K", 1),
        "a blank in a name": answer.replace(HEAD, HEAD + b"X Name: x\r\n"),
        "a control byte in a name": answer.replace(HEAD, HEAD + b"X\x01Name: x\r\n"),
        "a control byte in a value": answer.replace(HEAD, HEAD + b"X-Name: \x01\r\n"),
        "an invalid name behind the coding": chunks.replace(
            b"chunked\r\n", b"chunked\r\nX Name: x\r\n", 1
        ),
        "chunks of HTTP/1.0": chunks.replace(b"1.1", b"1.0", 1),
    }


def _read_request(connection: socket.socket) -> None:
    """Read a whole request: a close with unread bytes would be a reset."""
    with connection.makefile("rb") as reader:
        body_bytes = 0
        while line := reader.readline().strip():
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                body_bytes = int(value)
        reader.read(body_bytes)


class RawServer:
    """Sends the same bytes to each connection after its request and closes it.

    :param has_reset: whether connections end with a reset in place of an orderly close.
    """

    def __init__(self, data: bytes, has_reset: bool = False) -> None:
        self._data = data
        self._has_reset = has_reset
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.url = f"http://{self.address}"
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop to listen."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join(5)

    def _run(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection, contextlib.suppress(OSError):
                connection.settimeout(5)
                _read_request(connection)
                connection.sendall(self._data)
                if self._has_reset:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
