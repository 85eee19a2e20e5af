"""Servers that name no limits."""

from __future__ import annotations


class UnlimitedServers:
    """The limits of servers that name none."""

    def record_answer(self, life, terms, sent_ms):
        """Ignore an answer."""

    def record_rest(self, life, rest_ms):
        """Ignore that a server asks for rest."""

    def is_resting(self, life):
        """Return ``False``."""
        return False

    def awaits_return(self, life):
        """Return ``False``."""
        return False

    def rate_per_s(self, life):
        """Return ``None``."""
        return

    def has_room(self, life):
        """Return ``True``."""
        return True

    def admit(self, life):
        """Return ``None``: any request may be sent."""
        return

    def retry_after_ms(self, service, lives):
        """Never called, since no server is at a limit."""
        raise AssertionError
