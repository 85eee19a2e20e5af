"""Decides where a request goes: a runner of this node, or the node that owns the runner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..core.adapter import AdapterRef
from ..membership.view import Peer
from ..placement.models import RunnerView
from ..placement.runner_selection import build_runner_view, choose_runner
from .context import NodeContext


@dataclass(frozen=True, slots=True)
class Here:
    """The request waits at a runner of this node."""

    runner_id: str


@dataclass(frozen=True, slots=True)
class There:
    """The request goes to the node that owns the runner."""

    runner_id: str
    peer: Peer


@dataclass(frozen=True, slots=True)
class Nowhere:
    """No runner takes the request at the moment."""

    reason: str


Place: TypeAlias = Here | There | Nowhere


def views(context: NodeContext) -> dict[str, RunnerView]:
    """Return what is known of every runner: exact for our own, as last heard for the others."""
    return {runner_id: runner_view(context, runner_id) for runner_id in context.config.runner_by_id}


def runner_view(context: NodeContext, runner_id: str) -> RunnerView:
    """Return what is known of one runner."""
    entry = context.config.runner_by_id[runner_id]
    owned = context.core.owned_by_runner.get(runner_id)
    if owned is not None:
        takes = owned.takes_new_work and not entry.draining and not owned.is_handing_over
        return build_runner_view(owned.runner, entry.base_model, context.now_ms(), takes)
    remote = context.remote_by_runner.get(runner_id)
    peer = _owner_peer(context, runner_id)
    if remote is None or peer is None or remote.incarnation != peer.row.incarnation:
        return RunnerView(runner_id, entry.base_model, takes_new_work=False)
    remote.view.takes_new_work = remote.view.takes_new_work and not entry.draining
    return remote.view


def place(context: NodeContext, adapter: AdapterRef, may_relay: bool) -> Place:
    """Return where a request for an adapter should go now.

    :param may_relay: ``False`` for a request that another node relayed: it goes over one hop only.
    """
    entry = context.config.adapter_by_name.get(adapter.name)
    if entry is None:
        return Nowhere("unknown adapter")
    view_by_id = views(context)
    if not may_relay:
        own = context.core.owned_by_runner
        view_by_id = {name: view for name, view in view_by_id.items() if name in own}
    packed = context.in_use(entry.base_model, view_by_id)
    runner_id = choose_runner(adapter, entry.base_model, packed, context.tuning)
    if runner_id is None:
        return Nowhere("no runner takes new work")
    if runner_id in context.core.owned_by_runner:
        return Here(runner_id)
    peer = _owner_peer(context, runner_id)
    if peer is None:
        return Nowhere("the runner's owner is not known")
    view_by_id[runner_id].sent_since_report += 1
    return There(runner_id, peer)


def owner_for(context: NodeContext, adapter: AdapterRef) -> str | None:
    """Return the incarnation that callers of an adapter should use."""
    match place(context, adapter, may_relay=True):
        case Here():
            return context.me.incarnation
        case There(peer=peer):
            return peer.row.incarnation
        case Nowhere():
            return None


def _owner_peer(context: NodeContext, runner_id: str) -> Peer | None:
    incarnation = context.owner_of(runner_id)
    if incarnation is None:
        return None
    peer = context.membership.peer_by_incarnation.get(incarnation)
    if peer is None or peer not in context.membership.live_peers(context.now_ms()):
        return None
    return peer
