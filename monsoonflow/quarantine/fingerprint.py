"""Recognises a request that comes again under another id."""

from __future__ import annotations

import hashlib
from typing import Final

DIGEST_BYTES: Final = 8


def fingerprint(method: bytes, host: str, target: bytes, body: bytes) -> str:
    """Return a name for all requests that ask for the same.

    A caller that asks again gives its request another id. The name says nothing of the body, so it
    may stand in the log.

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
