"""The client of engines, nodes and services: what is no valid answer never counts as one."""

from __future__ import annotations

import socket
import threading

import pytest

from monsoonflow.backend.models import OrderDone, OrderStamp, OrderUnclear
from monsoonflow.backend.openai_http import OpenAiEngine
from monsoonflow.helpers.http import Answer, Head, HttpClient, Lost
from monsoonflow.storage.object_store import HttpObjectStore
from monsoonflow.transport.sockets import RESET_AT_CLOSE

TIMEOUT_MS = 3_000
LENGTH = b"Content-Length: 2"
CHUNKED = b"Transfer-Encoding: chunked"
INVALID_LINES = {
    "a blank in a name": b"X Name: x",
    "a blank before the colon": b"X-Name : x",
    "a tab in a name": b"X\tName: x",
    "a NUL in a name": b"X\x00Name: x",
    "a bell in a name": b"X\x07Name: x",
    "a DEL in a name": b"X\x7fName: x",
    "a byte above 127 in a name": b"X-N\xe9: x",
    "a delimiter in a name": b"X(Name): x",
    "no name": b": x",
    "no colon": b"X-Name",
    "a folded value": b"X-Name: a\r\n b",
    "a carriage return in a value": b"X-Name: a\rb",
    "a NUL in a value": b"X-Name: a\x00b",
    "an escape in a value": b"X-Name: a\x1bb",
    "a line of a mailbox": b"From someone",
}


def answer(*lines: bytes, body: bytes = b"{}", status: bytes = b"200 OK") -> bytes:
    return b"\r\n".join([b"HTTP/1.1 " + status, *lines, b"", body])


@pytest.fixture
def client():
    return HttpClient(TIMEOUT_MS)


def check_is_refused(client: HttpClient, url: str) -> None:
    for result in (client.call("GET", url), client.open("POST", url, b"body", fresh=True)):
        assert isinstance(result, Lost)
        assert result.sent


@pytest.mark.parametrize("name", INVALID_LINES)
@pytest.mark.parametrize("framing", [LENGTH, CHUNKED])
@pytest.mark.parametrize("is_first", [True, False])
def test_an_answer_with_an_invalid_line_in_its_head_is_refused(
    client, serve_raw, name, framing, is_first
):
    """The line and all behind it were dropped: a body without its end, or without its names."""
    lines = [INVALID_LINES[name], framing]
    body = b"{}TAIL" if framing is LENGTH else b"2\r\n{}\r\n0\r\n\r\n"
    data = answer(*(lines if is_first else reversed(lines)), body=body)
    check_is_refused(client, serve_raw(data).url)


@pytest.mark.parametrize("status", [b"000 OK", b"099 OK", b"600 OK", b"700 OK", b"200 O\x1bK"])
def test_an_answer_with_an_invalid_status_line_is_refused(client, serve_raw, status):
    """A caller can't tell what such a status means."""
    check_is_refused(client, serve_raw(answer(LENGTH, status=status)).url)


@pytest.mark.parametrize(
    "lines",
    [
        (LENGTH, b"Content-Length: 3"),
        (b"Content-Length: 2, 2",),
        (b"Content-Length: +2",),
        (b"Content-Length: -2",),
        (LENGTH, CHUNKED),
        (b"Transfer-Encoding: gzip",),
        (b"Transfer-Encoding: gzip, chunked",),
    ],
    ids=str,
)
def test_an_answer_with_contradicting_framing_is_refused(client, serve_raw, lines):
    """The end of its body would depend on who reads it."""
    check_is_refused(client, serve_raw(answer(*lines, body=b"2\r\n{}\r\n0\r\n\r\n")).url)


@pytest.mark.parametrize("version", [b"HTTP/0.9", b"HTTP/1.2", b"HTTP/2.0", b"RTSP/1.0"])
def test_another_protocol_is_no_answer(client, serve_raw, version):
    """Versions that the library takes for 1.0 or 1.1 were taken."""
    check_is_refused(client, serve_raw(answer(LENGTH).replace(b"HTTP/1.1", version)).url)


def test_chunks_of_an_old_version_are_refused(client, serve_raw):
    """A server of HTTP/1.0 knows no chunks: its framing is faulty."""
    data = answer(CHUNKED, body=b"2\r\n{}\r\n0\r\n\r\n").replace(b"HTTP/1.1", b"HTTP/1.0")
    check_is_refused(client, serve_raw(data).url)


@pytest.mark.parametrize(
    "data",
    [
        answer(LENGTH),
        answer(LENGTH, status=b"200"),
        answer(LENGTH, LENGTH),
        answer(b"!#$%&'*+-.^_`|~09aZ: x", LENGTH),
        answer(b"X-Name: \xc3\xa9\t\xff", LENGTH),
        answer(b"X-Name:", LENGTH),
        answer(CHUNKED, body=b"2;a=b\r\n{}\r\n0\r\nX-Trailer: x\r\n\r\n"),
        answer(b"Content-Type: multipart/mixed; boundary=b", LENGTH),
        answer(LENGTH).replace(b"HTTP/1.1", b"HTTP/1.0"),
        answer(),
        b"HTTP/1.1 100 Continue\r\n\r\n" + answer(LENGTH),
        b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + answer(LENGTH),
        3 * b"HTTP/1.1 103 Early Hints\r\n\r\n" + answer(CHUNKED, body=b"2\r\n{}\r\n0\r\n\r\n"),
    ],
)
def test_valid_answers_are_taken(client, serve_raw, data):
    result = client.call("GET", serve_raw(data).url)
    assert isinstance(result, Answer)
    assert (result.status, result.body) == (200, b"{}")


LARGE = b"x" * (20 << 20)


@pytest.fixture
def answer_early():
    """Return a function that starts a server which answers without reading a body, and resets."""
    listeners = []

    def start(data: bytes) -> str:
        listener = socket.create_server(("127.0.0.1", 0))
        listeners.append(listener)

        def serve() -> None:
            sock, _ = listener.accept()
            sock.settimeout(TIMEOUT_MS / 1_000)
            received = b""
            while b"\r\n\r\n" not in received:
                received += sock.recv(1)
            sock.sendall(data)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            sock.close()

        threading.Thread(target=serve, daemon=True).start()
        return f"http://127.0.0.1:{listener.getsockname()[1]}"

    yield start
    for listener in listeners:
        listener.close()


EARLY = {
    "a length": answer(LENGTH),
    "no length": answer(),
    "an empty body": answer(b"Content-Length: 0", body=b""),
}


@pytest.mark.parametrize("name", EARLY)
def test_a_success_before_the_whole_request_was_received_is_none(client, answer_early, name):
    """The engine or the store can't have what it says that it took."""
    data = EARLY[name]
    assert isinstance(client.open("PUT", answer_early(data), LARGE), Lost)
    assert isinstance(client.call("POST", answer_early(data), json=LARGE.decode()), Lost)
    engine = OpenAiEngine(answer_early(data), TIMEOUT_MS)
    assert isinstance(engine.import_kv(OrderStamp("r.1", 1), LARGE), OrderUnclear)
    assert not HttpObjectStore(answer_early(data), TIMEOUT_MS).put("key", LARGE)


def test_a_refusal_before_the_whole_request_was_received_counts(client, answer_early):
    """A server may refuse an upload by its head."""
    refusal = answer(LENGTH, status=b"413 Content Too Large")
    result = client.open("PUT", answer_early(refusal), LARGE)
    assert isinstance(result, Head)
    assert result.status == 413


def test_a_success_after_the_whole_request_counts(serve_raw):
    engine = OpenAiEngine(serve_raw(answer(LENGTH)).url, TIMEOUT_MS)
    assert engine.import_kv(OrderStamp("r.1", 1), LARGE) == OrderDone()
    assert HttpObjectStore(serve_raw(answer(LENGTH)).url, TIMEOUT_MS).put("key", LARGE)
