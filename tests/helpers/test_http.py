"""The client of engines, nodes and services: what is no valid answer never counts as one."""

from __future__ import annotations

import pytest

from monsoonflow.helpers.http import Answer, HttpClient, Lost

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
    ],
)
def test_valid_answers_are_taken(client, serve_raw, data):
    result = client.call("GET", serve_raw(data).url)
    assert isinstance(result, Answer)
    assert (result.status, result.body) == (200, b"{}")
