"""Decides which node should own a runner, and which runners this node claims."""

from __future__ import annotations

from collections.abc import Iterable

from ..helpers.hashing import rank
from .models import Claim, LeaseRow, OwnerRow

VersionedOwner = tuple[OwnerRow, int]


def preferred_owner(runner_id: str, nodes: Iterable[str], all_runners: list[str]) -> str | None:
    """Return the node that should own a runner, or ``None`` if there is no node.

    Each node gets at most an equal share of the runners, rounded up. Rendezvous hashing alone, with
    few runners, would leave some nodes with three and others with none. Therefore each runner in
    turn is assigned to its best-ranked node that has not reached its share.

    :param all_runners: all runners, so that every node computes the same assignment.
    """
    names = sorted(nodes)
    if not names:
        return None
    max_runners = -(-len(all_runners) // len(names))
    count_by_node = dict.fromkeys(names, 0)
    for assigned_id in sorted(all_runners):
        for name in rank(assigned_id, names):
            if count_by_node[name] < max_runners:
                count_by_node[name] += 1
                if assigned_id == runner_id:
                    return name
                break
    return None


def choose_claims(
    own_row: LeaseRow,
    runners: list[str],
    owner_by_runner: dict[str, VersionedOwner],
    live_rows: dict[str, LeaseRow],
    lapsed_incarnations: set[str],
) -> list[Claim]:
    """Return claims for the runners that this node should claim now.

    :param own_row: this node's lease row.
    :param runners: every runner in the configuration.
    :param owner_by_runner: the ownership rows and their versions.
    :param live_rows: the lease rows of the nodes that take new work, by incarnation.
    :param lapsed_incarnations: the incarnations whose leases this node may treat as lapsed.
    """
    names = {row.node for row in live_rows.values() if not row.leaving}
    claims: list[Claim] = []
    for runner_id in runners:
        known = owner_by_runner.get(runner_id)
        if known is not None and not _is_free(known[0], own_row, lapsed_incarnations):
            continue
        if preferred_owner(runner_id, names, runners) != own_row.node:
            continue
        fence = known[0].fence + 1 if known else 1
        row = OwnerRow(runner_id, own_row.node, own_row.incarnation, fence)
        reason = "nobody owned it" if known is None else "its owner's lease lapsed"
        claims.append(Claim(row, known[1] if known else 0, reason))
    return claims


def _is_free(owner: OwnerRow, own_row: LeaseRow, lapsed_incarnations: set[str]) -> bool:
    if owner.incarnation == "":
        return True
    return owner.incarnation != own_row.incarnation and owner.incarnation in lapsed_incarnations
