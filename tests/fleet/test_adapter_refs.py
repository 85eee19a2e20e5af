"""Decoded adapter versions are kept for the next heartbeats."""

from __future__ import annotations

import pytest

from monsoonflow.core.adapter import AdapterRef
from monsoonflow.fleet import codec


def test_the_same_text_is_decoded_once():
    assert codec.parse_adapter_ref("m/a@3") == AdapterRef("m/a", 3)
    assert codec.parse_adapter_ref("m/a@3") is codec.parse_adapter_ref("m/a@3")


@pytest.mark.parametrize("text", ["", "m/a", "m/a@", "m/a@x", "x" * 10_000])
def test_malformed_texts_are_refused_every_time(text):
    for _ in range(2):
        with pytest.raises(ValueError):
            codec.parse_adapter_ref(text)


def test_long_texts_are_not_kept():
    # A peer that sends many of them would fill the memory.
    cached = codec._cached_adapter_ref.cache_info().currsize
    assert codec.parse_adapter_ref("x" * 10_000 + "@1").version == 1
    assert codec._cached_adapter_ref.cache_info().currsize == cached
