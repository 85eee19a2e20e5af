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


@pytest.fixture(params=[1, 7, 65_536])
def read(request):
    """Return a function that reads bytes in pieces of a size and returns the answers."""
    return partial(read_answers, request.param)


def read_answers(size: int, data: bytes) -> list[IncomingAnswer]:
    reader = AnswerReader()
    for piece in in_pieces(data, size):
        reader.feed(piece)
    return list(reader.answers)


def body_of(answer: IncomingAnswer) -> bytes:
    return b"".join(answer.pieces)


@pytest.mark.parametrize("before", [b"", EARLY_HINTS])
@pytest.mark.parametrize("status", [b"000", b"001", b"042", b"099", b"600", b"700", b"999"])
def test_a_status_that_does_not_exist_is_no_answer(read, status, before):
    """The caller got such a status, or a status line that no client can read."""
    with pytest.raises(BrokenAnswer):
        read(before + b"HTTP/1.1 %s OK\r\n" % status + REST)


@pytest.mark.parametrize("status", [200, 226, 299, 300, 404, 418, 451, 499, 500, 503, 599])
def test_any_status_that_exists_is_taken(read, status):
    (answer,) = read(b"HTTP/1.1 %d Any\r\n" % status + REST)
    assert (answer.head.status, body_of(answer), answer.is_complete) == (status, b"ok", True)
