"""Data that the client hands out."""

from __future__ import annotations

import hashlib

import attrs

from ..core.outcome import Done, Outcome


@attrs.frozen(slots=True)
class Reply:
    """The end of a request.

    :param outcome: ``Done``, ``NotRun``, ``Unknown`` or ``Failed``.
    :param text: everything that arrived; the whole answer only with ``Done``.
    :param model: the adapter and version that the answer ran on.
    :param first_text_ms: time to the first piece of text, if any came.
    """

    outcome: Outcome
    text: str
    request_id: str
    model: str
    first_text_ms: int | None = None

    @property
    def done(self) -> bool:
        """Tell whether the whole answer arrived."""
        return isinstance(self.outcome, Done)


@attrs.frozen(slots=True)
class Address:
    """A node to connect to.

    :param home: names the node's process; sent back with a key, so that only it runs the key.
    """

    address: str
    home: str


@attrs.define(slots=True)
class Transcript:
    """The text received so far, checked chunk by chunk."""

    chunks: list[str] = attrs.field(factory=list)
    request_id: str = ""
    model: str = ""

    def take(self, index: int, text: str) -> bool:
        """Take a chunk.

        :returns: ``False`` when one before it is missing.
        """
        if index > len(self.chunks):
            return False
        if index == len(self.chunks):
            self.chunks.append(text)
        return True

    def text(self) -> str:
        """Return the text."""
        return "".join(self.chunks)

    def is_whole(self, count: int, digest: str) -> bool:
        """Tell whether an end marker fits everything that came before it."""
        found = hashlib.sha256(self.text().encode()).hexdigest()
        return count == len(self.chunks) and digest == found
