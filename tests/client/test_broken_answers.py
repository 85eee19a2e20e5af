"""Tests that the callers' client takes no answer for whole that broke off."""

from __future__ import annotations

import hashlib

import pytest

from monsoonflow.backend.models import Cut
from monsoonflow.client.models import Transcript
from monsoonflow.client.transport import HttpTransport
from tests.raw_server import WITH_CHUNKS, WITHOUT_LENGTH, chunk, invalid_answers, with_length

SILENCE_MS = 1_000
ADDRESSES = b'{"addresses": [{"node": "n1", "address": "h:1", "home": "n1.1"}], "good_for_ms": 9}'


@pytest.mark.parametrize("part", [b"", ADDRESSES[:40], ADDRESSES[:-1]])
def test_a_part_of_the_addresses_is_no_answer(serve_raw, part):
    """The client raised ``TypeError`` to its caller and did not ask the next node."""
    seed = serve_raw(WITHOUT_LENGTH + part).url
    assert HttpTransport("key", SILENCE_MS).lookup(seed, "a") is None


@pytest.mark.parametrize("name", invalid_answers(ADDRESSES))
def test_addresses_in_an_invalid_answer_are_none(serve_raw, name):
    seed = serve_raw(invalid_answers(ADDRESSES)[name]).url
    assert HttpTransport("key", SILENCE_MS).lookup(seed, "a") is None


def test_addresses_in_a_valid_answer_are_found(serve_raw):
    seed = serve_raw(with_length(ADDRESSES)).url
    assert HttpTransport("key", SILENCE_MS).lookup(seed, "a").good_for_ms == 9


EVENT = b'id: 0\ndata: {"choices":[{"index":0,"text":"so far"}]}\n\n'


@pytest.mark.parametrize(
    "answer",
    [
        WITH_CHUNKS + chunk(EVENT) + b"0\r\n\r\n",
        WITH_CHUNKS + chunk(EVENT + b"data: [DONE]\n\n") + b"0\r\n\r\n",
        WITH_CHUNKS + chunk(EVENT[:-9]),
        WITHOUT_LENGTH + EVENT,
        with_length(EVENT),
    ],
)
def test_a_stream_without_its_end_marker_is_cut(serve_raw, answer):
    """A node ends in the middle of an answer; the caller would get half of it as the whole."""
    address = serve_raw(answer).address
    transport = HttpTransport("key", SILENCE_MS)
    sent = list(transport.send(address, {}, {"prompt": "p"}, fresh=True))
    resumed = list(transport.resume(address, "r-1", 0))
    assert isinstance(sent[-1], Cut) and isinstance(resumed[-1], Cut)


def test_an_end_marker_that_does_not_fit_its_text_is_no_whole_answer():
    """A server lost a chunk but sends its end marker; without the check half a text is whole."""
    transcript = Transcript(["so ", "far"])
    digest = hashlib.sha256(b"so far").hexdigest()
    assert transcript.is_whole(2, digest)
    assert not transcript.is_whole(3, digest)
    assert not transcript.is_whole(2, hashlib.sha256(b"so far and on").hexdigest())
