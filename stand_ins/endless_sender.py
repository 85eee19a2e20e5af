"""A process that answers each request with bytes that do not end, until its peer closes.

Run as ``python -m stand_ins.endless_sender KIND [PAUSE_S]``; prints its port. With a pause it sends
a byte at a time.
"""

from __future__ import annotations

import contextlib
import itertools
import re
import socket
import sys
import threading
import time
from collections.abc import Iterator
from typing import Final

HEAD: Final = b"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n"
CHUNKED: Final = b"Transfer-Encoding: chunked\r\n\r\n"
EVENT: Final = b"id: 1\ndata: one two\n\n"
START_BY_KIND: Final = {
    "one long header": HEAD + b"X-Long: ",
    "many headers": HEAD,
    "informational answers": b"",
    "chunk extension": HEAD + CHUNKED + b"5;x=",
    "trailer fields": HEAD + CHUNKED + b"2\r\nok\r\n0\r\n",
    "chunked body": HEAD + CHUNKED,
    "tiny chunks": HEAD + CHUNKED,
    "body with a huge length": HEAD + b"Content-Length: 1000000000000\r\n\r\n",
    "body until the connection ends": HEAD + b"\r\n",
    "events": HEAD + b"Content-Type: text/event-stream\r\n" + CHUNKED,
    "bytes after a complete answer": HEAD + b"Content-Length: 2\r\n\r\nok",
}
REPEATED_BY_KIND: Final = {
    "many headers": b"X-Many: of them\r\n",
    "informational answers": b"HTTP/1.1 102 Processing\r\n\r\n",
    "trailer fields": b"X-Many: of them\r\n",
    "chunked body": b"2000\r\n" + b"x" * 0x2000 + b"\r\n",
    "tiny chunks": b"1\r\nx\r\n",
}


def pieces(
    kind: str, request_id: bytes, pause_s: float = 0.0, event: bytes = EVENT
) -> Iterator[bytes]:
    """Yield what is sent.

    :param event: what a stream of events repeats.
    """
    head = START_BY_KIND[kind].replace(HEAD, HEAD + b"X-Request-Id: " + request_id + b"\r\n")
    if head:
        yield head
    repeated = REPEATED_BY_KIND.get(kind, b"x")
    if kind == "events":
        repeated = b"%x\r\n%s\r\n" % (len(event), event)
    if pause_s:
        for byte in itertools.cycle(repeated):
            time.sleep(pause_s)
            yield bytes([byte])
    block = repeated * (65_536 // len(repeated))
    while True:
        yield block


def serve(sock: socket.socket, kind: str, pause_s: float) -> None:
    """Answer one connection until the peer closes it."""
    with contextlib.suppress(OSError), sock:
        request = b""
        while b"\r\n\r\n" not in request:
            request += sock.recv(65_536)
        found = re.search(rb"(?i)x-request-id: *([^\r]*)", request)
        for piece in pieces(kind, found[1] if found else b"", pause_s):
            sock.sendall(piece)


def main() -> None:
    """Listen until the process is ended."""
    kind, pause_s = sys.argv[1], float(sys.argv[2]) if len(sys.argv) > 2 else 0.0
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock, kind, pause_s), daemon=True).start()


if __name__ == "__main__":
    main()
