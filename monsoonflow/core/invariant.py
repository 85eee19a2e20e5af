"""Stops the process when a rule that must always hold is broken."""

from __future__ import annotations


class InvariantBroken(BaseException):
    """Reports a broken rule.

    Derives from :class:`BaseException`, so that no handler for ordinary errors swallows it: a node
    whose own memory is inconsistent may no longer decide anything.
    """


def require(holds: bool, rule: str) -> None:
    """Raise :class:`InvariantBroken` unless the rule holds.

    :param holds: whether the rule holds.
    :param rule: the rule, as a sentence.
    """
    if not holds:
        raise InvariantBroken(rule)
