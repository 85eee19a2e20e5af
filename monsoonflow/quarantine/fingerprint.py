"""Recognises a request that a caller sends again with another id."""

from __future__ import annotations

import hashlib
from typing import Final

DIGEST_BYTES: Final = 8


def fingerprint(method: bytes, host: str, target: bytes, body: bytes) -> str:
    """Return the same hash for all requests with the same content.

    A caller that retries gives its request another id, so the id can't be used. The hash does not
    reveal the body, so it may be logged.

    >>> fingerprint(b"POST", "h", b"/a/1", b"x") == fingerprint(b"POST", "h", b"/a/1", b"x")
    True
    >>> fingerprint(b"POST", "h", b"/a/1", b"x") == fingerprint(b"POST", "h", b"/a/1x", b"")
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host.encode("latin-1"), target, body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()
