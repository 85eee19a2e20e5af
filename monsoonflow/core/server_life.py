"""Names one life of a backend server: its id and when it was born."""

from __future__ import annotations

from typing import Final

_MARK: Final = "@"


class ServerLife(str):
    """One life of a backend server, written ``ID@BORN``; ``ID`` where births are not told.

    A server that starts again keeps its id, and holds and knows nothing of before: whatever is
    believed of "this server" (what it holds, what it was ordered, what is in progress there) is
    believed of one life. It is a string since it is the key of every such table and stands as a key
    in what nodes tell each other.

    >>> life = ServerLife.of("i-7f3a", 1764718000123)
    >>> life, life.server_id, life.born_ms
    ('i-7f3a@1764718000123', 'i-7f3a', 1764718000123)
    >>> ServerLife("i-7f3a").server_id, ServerLife("i-7f3a").born_ms
    ('i-7f3a', None)
    >>> ServerLife.of("odd@5", None).server_id
    'odd@5'
    """

    __slots__ = ()

    @classmethod
    def of(cls, server_id: str, born_ms: int | None) -> ServerLife:
        """Return the life of a server that was born then.

        :param born_ms: Unix milliseconds; ``None`` where the deployment tells no births: there a
            server has another id after each start.
        """
        if born_ms is not None:
            return cls(f"{server_id}{_MARK}{born_ms}")
        return cls(f"{server_id}{_MARK}" if _MARK in server_id else server_id)

    @property
    def server_id(self) -> str:
        """Return the name that the server keeps through its lives."""
        server_id, mark, _ = self.rpartition(_MARK)
        return server_id if mark else str(self)

    @property
    def born_ms(self) -> int | None:
        """Return when this life began, in Unix milliseconds; ``None`` where that is not told."""
        _, mark, born = self.rpartition(_MARK)
        return int(born) if mark and born else None
