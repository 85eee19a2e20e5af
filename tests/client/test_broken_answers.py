"""Tests that the callers' client takes no answer for whole that broke off."""

from __future__ import annotations

import pytest

from monsoonflow.client.transport import HttpTransport
from tests.raw_server import WITHOUT_LENGTH

SILENCE_MS = 1_000
ADDRESSES = b'{"addresses": [{"node": "n1", "address": "h:1", "home": "n1.1"}], "good_for_ms": 9}'


@pytest.mark.parametrize("part", [b"", ADDRESSES[:40], ADDRESSES[:-1]])
def test_a_part_of_the_addresses_is_no_answer(serve_raw, part):
    """The client raised ``TypeError`` to its caller and did not ask the next node."""
    seed = serve_raw(WITHOUT_LENGTH + part).url
    assert HttpTransport("key", SILENCE_MS).lookup(seed, "a") is None
