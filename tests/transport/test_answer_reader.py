"""Heads of answers that a server may and may not send, whole and byte by byte."""

from __future__ import annotations

from functools import partial

import pytest

from monsoonflow.transport.answer_reader import AnswerReader
from monsoonflow.transport.models import BrokenAnswer, IncomingAnswer

REST = b"Content-Length: 2\r\n\r\nok"
CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\n" + REST
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"


def in_pieces(data: bytes, size: int) -> list[bytes]:
    return [data[start : start + size] for start in range(0, len(data), size)]


@pytest.fixture(params=[1, 2, 3, 7, 65_536])
def read(request):
    """Return a function that reads bytes in pieces of a size and returns the answers."""
    return partial(read_answers, request.param)


@pytest.mark.parametrize("size", range(1, 60))
def test_informational_answers_may_be_split_anywhere(size):
    (answer,) = read_answers(size, 2 * EARLY_HINTS + ANSWER)
    assert (answer.head.status, body_of(answer)) == (200, b"ok")
    with pytest.raises(BrokenAnswer):
        read_answers(size, EARLY_HINTS + b"RTSP/1.0 200 OK\r\n" + REST)


def read_answers(size: int, data: bytes) -> list[IncomingAnswer]:
    reader = AnswerReader()
    for piece in in_pieces(data, size):
        reader.feed(piece)
    return list(reader.answers)


def body_of(answer: IncomingAnswer) -> bytes:
    return b"".join(answer.pieces)


@pytest.mark.parametrize("before", [b"", EARLY_HINTS], ids=["alone", "after hints"])
@pytest.mark.parametrize("status", [b"000", b"001", b"042", b"099", b"600", b"700", b"999"])
def test_a_status_that_does_not_exist_is_no_answer(read, status, before):
    """The caller got such a status, or a status line that no client can read."""
    with pytest.raises(BrokenAnswer):
        read(before + b"HTTP/1.1 %s OK\r\n" % status + REST)


@pytest.mark.parametrize("status", [200, 226, 299, 300, 404, 418, 451, 499, 500, 503, 599])
def test_any_status_that_exists_is_taken(read, status):
    (answer,) = read(b"HTTP/1.1 %d Any\r\n" % status + REST)
    assert (answer.head.status, body_of(answer), answer.is_complete) == (status, b"ok", True)


@pytest.mark.parametrize(
    "before",
    [b"", b"\r\n", EARLY_HINTS, 2 * EARLY_HINTS],
    ids=["alone", "after a blank line", "after hints", "after two hints"],
)
@pytest.mark.parametrize(
    "version", [b"HTTP/0.9", b"HTTP/1.2", b"HTTP/2.0", b"RTSP/1.0", b"RTSP/1.1", b"ICE/1.0"]
)
def test_another_protocol_is_no_answer(read, version, before):
    """The caller got what other protocols answer as an answer of HTTP/1.1."""
    with pytest.raises(BrokenAnswer):
        read(before + version + b" 200 OK\r\n" + REST)


def test_an_informational_answer_of_another_protocol_is_refused(read):
    """What follows it would be taken for the final answer."""
    with pytest.raises(BrokenAnswer):
        read(b"RTSP/1.0 100 Continue\r\n\r\n" + ANSWER)


@pytest.mark.parametrize("first", [ANSWER, b"HTTP/1.1 200 OK\r\n" + CHUNKS])
def test_two_answers_in_a_row_are_both_read(read, first):
    """A late answer to an earlier request may come just before the one that is due."""
    assert [body_of(answer) for answer in read(first + ANSWER)] == [b"ok", b"ok"]


VALID_ANSWERS = {
    "without a reason": b"HTTP/1.1 200\r\n" + REST,
    "with an empty reason": b"HTTP/1.1 200 \r\n" + REST,
    "of HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + REST,
    "after a blank line": b"\r\nHTTP/1.1 200 OK\r\n" + REST,
    "after early hints": EARLY_HINTS + ANSWER,
    "after a request to continue": b"HTTP/1.1 100 Continue\r\n\r\n" + ANSWER,
    "after several informational ones": 3 * EARLY_HINTS + ANSWER,
    "after an informational one with a length": (
        b"HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\n" + ANSWER
    ),
    "with any token as a name": b"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ: x\r\n" + REST,
    "with bytes above 127 in a value": b"HTTP/1.1 200 OK\r\nX-Name: \xc3\xa9\xff\r\n" + REST,
    "with an empty value": b"HTTP/1.1 200 OK\r\nX-Name:\r\n" + REST,
    "with blanks and tabs in a value": b"HTTP/1.1 200 OK\r\nX-Name: \t a\t b \t\r\n" + REST,
    "in chunks": b"HTTP/1.1 200 OK\r\n" + CHUNKS,
    "in chunks with an extension": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2;a=b\r\nok\r\n0\r\n\r\n"
    ),
    "in chunks with a trailer": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: b\r\n\r\n"
    ),
}


@pytest.mark.parametrize("name", VALID_ANSWERS)
def test_valid_answers_are_taken(read, name):
    (answer,) = read(VALID_ANSWERS[name])
    assert (answer.head.status, body_of(answer), answer.is_complete) == (200, b"ok", True)


@pytest.mark.parametrize("framing", [b"", b"Content-Length: 5\r\n", CHUNKS[:28]])
@pytest.mark.parametrize("status", [b"204", b"304"])
def test_an_answer_that_never_has_a_body_ends_with_its_head(read, status, framing):
    """Such an answer ends at the blank line, whatever its head says (RFC 9112, section 6.3)."""
    (answer,) = read(b"HTTP/1.1 " + status + b" Any\r\n" + framing + b"\r\n")
    assert (body_of(answer), answer.is_complete) == (b"", True)


INVALID_HEADS = {
    "a blank in a name": b"X Name: x",
    "a blank before the colon": b"X-Name : x",
    "a blank before a name": b" X-Name: x",
    "a tab in a name": b"X\tName: x",
    "a tab before the colon": b"X-Name\t: x",
    "a NUL in a name": b"X\x00Name: x",
    "a bell in a name": b"X\x07Name: x",
    "a DEL in a name": b"X\x7fName: x",
    "a control byte at the start of a name": b"\x01X-Name: x",
    "a control byte before the colon": b"X-Name\x1f: x",
    "a byte above 127 in a name": b"X\xc3\xa9: x",
    "no name": b": x",
    "no colon": b"X-Name",
    "a delimiter in a name": b"X(Name): x",
    "a quote in a name": b'X"Name: x',
    "a slash in a name": b"X/Name: x",
    "an at sign in a name": b"X@Name: x",
    "a NUL in a value": b"X-Name: a\x00b",
    "a bell in a value": b"X-Name: a\x07b",
    "a DEL in a value": b"X-Name: a\x7fb",
    "a carriage return in a value": b"X-Name: a\rb",
    "a folded line": b"X-Name: a\r\n b",
    "lengths that differ": b"Content-Length: 3",
    "a list of lengths": b"Content-Length: 2, 2",
    "a signed length": b"Content-Length: +2",
    "a negative length": b"Content-Length: -2",
    "chunks beside a length": b"Transfer-Encoding: chunked",
    "a coding besides chunked": b"Transfer-Encoding: gzip",
}


@pytest.mark.parametrize("before", [True, False])
@pytest.mark.parametrize("name", INVALID_HEADS)
def test_an_answer_with_an_invalid_line_in_its_head_is_refused(read, name, before):
    """The caller got such a line, or a body that was not the server's."""
    lines = [INVALID_HEADS[name], REST.partition(b"\r\n")[0]]
    head = b"\r\n".join(lines if before else reversed(lines))
    with pytest.raises(BrokenAnswer):
        read(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\nok")


@pytest.mark.parametrize("size", [b"g", b"-2", b"+2", b"2 2", b"0x2", b"", b"2\n", b"2\t;"])
def test_chunks_of_an_invalid_size_are_refused(read, size):
    """A body that was not the server's could be read from them."""
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    with pytest.raises(BrokenAnswer):
        read(head + size + b"\r\nok\r\n0\r\n\r\n")


CONTROL_BYTES = [*range(9), 11, 12, *range(14, 32), 127]


@pytest.mark.parametrize("byte", CONTROL_BYTES)
def test_a_control_byte_in_the_reason_is_refused(read, byte):
    """The reason was written into the status line that the caller got."""
    with pytest.raises(BrokenAnswer):
        read(b"HTTP/1.1 200 O%cK\r\n" % byte + REST)


@pytest.mark.parametrize("reason", [b"No Content (yet)", b"a\tb", b"\xc3\xa9t\xc3\xa9", b"200"])
def test_any_other_reason_is_taken(read, reason):
    (answer,) = read(b"HTTP/1.1 200 " + reason + b"\r\n" + REST)
    assert answer.head.reason == reason


@pytest.mark.parametrize("length", [b"", b"Content-Length: 2\r\n"])
def test_chunks_of_an_old_version_are_refused(read, length):
    """A server of HTTP/1.0 knows no chunks: its framing is faulty (RFC 9112, section 6.1)."""
    with pytest.raises(BrokenAnswer):
        read(b"HTTP/1.0 200 OK\r\n" + length + CHUNKS)
