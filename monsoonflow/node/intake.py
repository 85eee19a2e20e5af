"""Admits requests: resolves the adapter, settles idempotency keys, starts the driver."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TypeAlias

import attrs
import orjson

from ..address.node_order import order_nodes
from ..core.adapter import AdapterRef
from ..core.outcome import Failed, NotRun, Unknown
from ..helpers.ids import new_id
from ..membership.view import Peer
from ..request.life import RequestLife
from ..request.models import Terms as LifeTerms
from ..request.parse import Completion, Terms
from ..routing.idempotency_keys import KeyConflict, KeysFull, KnownKey, NewKey
from .claims import ClaimedBy, ClaimFailed, Claims, NewClaim
from .context import NodeContext, home_of
from .driver import Driver
from .relay import HEADER_HOME, HEADER_KEY
from .served import Served

HEADER_TRY = "X-Monsoonflow-Try"


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request was not admitted.

    :param request_id: names it in logs.
    """

    outcome: NotRun | Unknown | Failed
    request_id: str


@attrs.frozen(slots=True)
class Arrival:
    """A request as it reached this node.

    :param relayed_id: the identifier that the relaying node gave, if one did.
    :param hop: whether it was relayed to this node as the owner of the runner.
    """

    customer: str
    completion: Completion
    terms: Terms
    relayed_id: str | None = None
    hop: bool = False


@dataclass(frozen=True, slots=True)
class _Home:
    """Where a keyed request runs: here (``peer`` is ``None``) or at another node."""

    peer: Peer | None


Admitted: TypeAlias = Served | Rejected


class Intake:
    """Admits requests to this node."""

    def __init__(self, context: NodeContext, driver: Driver, claims: Claims) -> None:
        self._context = context
        self._driver = driver
        self._claims = claims

    def admit(self, arrival: Arrival) -> Admitted:
        """Admit a request, find the one that its key names, or say why not."""
        context = self._context
        request_id = arrival.relayed_id or new_id("r")
        if not context.takes_new_work() and not self._runs_here(arrival):
            return Rejected(self._not_here(arrival), request_id)
        completion = arrival.completion
        adapter = context.config.resolve(arrival.customer, completion.adapter, completion.version)
        if isinstance(adapter, str):
            return Rejected(NotRun(adapter, status=404), request_id)
        served = self._new_served(arrival, adapter, request_id)
        if arrival.hop or arrival.terms.key is None:
            self._driver.start(served, may_relay=not arrival.hop)
            return served
        return self._admit_keyed(arrival, served)

    def _runs_here(self, arrival: Arrival) -> bool:
        """Tell whether a key's request is already this node's.

        A stopping node that answered "not run" to a repetition would send the caller elsewhere with
        a request that is still running here.
        """
        key = arrival.terms.key
        return (
            key is not None and self._context.keys.find_request(arrival.customer, key) is not None
        )

    def _admit_keyed(self, arrival: Arrival, served: Served) -> Admitted:
        context, key = self._context, arrival.terms.key
        assert key is not None
        home = self._home(arrival, served)
        if isinstance(home, Rejected):
            return home
        if home.peer is not None:
            served.home_peer = home.peer
            served.keyed_headers = {
                HEADER_KEY: key,
                HEADER_HOME: home_of(home.peer.row.incarnation),
                **({HEADER_TRY: str(arrival.terms.tries)} if arrival.terms.tries else {}),
            }
            self._driver.start(served, may_relay=True)
            return served
        digest = _digest(arrival.completion)
        now_ms = context.now_ms()
        match context.keys.admit(arrival.customer, key, digest, served.request_id, now_ms):
            case NewKey():
                served.key = key
                self._driver.start(served, may_relay=True)
                return served
            case KnownKey(request_id=known_id):
                return self._known(known_id)
            case KeyConflict():
                outcome = NotRun("the key was used with another body", status=422)
                return Rejected(outcome, served.request_id)
            case KeysFull():
                return Rejected(NotRun("too many keys are kept", 10_000), served.request_id)

    def _known(self, request_id: str) -> Admitted:
        known = self._context.served_by_id.get(request_id)
        if known is not None:
            return known
        return Rejected(
            Failed("the key's request has ended and its answer is no longer kept"), request_id
        )

    def _home(self, arrival: Arrival, served: Served) -> _Home | Rejected:
        """Find the only process that may run a key.

        A caller that repeats a key through another node must not have it run there as well: the
        first node may still be running it, unseen. The caller names the process that it first sent
        to; where it names none, a row in the table service decides.
        """
        context, terms = self._context, arrival.terms
        if terms.home is not None:
            return self._home_named(terms, served)
        if terms.repeatable:
            return _Home(None)
        match self._claims.claim(arrival.customer, terms.key or "", context.home):
            case NewClaim():
                return _Home(None)
            case ClaimedBy(home=home):
                return self._home_at(home, served)
            case ClaimFailed(reason=reason):
                return Rejected(NotRun(reason, 1_000), served.request_id)

    def _home_named(self, terms: Terms, served: Served) -> _Home | Rejected:
        home = terms.home or ""
        if home == self._context.home or self._peer_of_home(home) is not None:
            return self._home_at(home, served)
        if terms.tries == 1:
            return _Home(None)
        return self._home_at(home, served)

    def _home_at(self, home: str, served: Served) -> _Home | Rejected:
        if home == self._context.home:
            return _Home(None)
        peer = self._peer_of_home(home)
        if peer is None:
            return Rejected(Unknown("the node that first took this key is gone"), served.request_id)
        return _Home(peer)

    def _peer_of_home(self, home: str) -> Peer | None:
        for peer in self._context.membership.live_peers(self._context.now_ms()):
            if home_of(peer.row.incarnation) == home:
                return peer
        return None

    def _new_served(self, arrival: Arrival, adapter: AdapterRef, request_id: str) -> Served:
        context, terms = self._context, arrival.terms
        now_ms = context.now_ms()
        customer = context.config.customer_by_name.get(arrival.customer)
        deadline_ms = terms.deadline_ms or context.settings["default-deadline-ms"]
        life = RequestLife(
            LifeTerms(
                request_id=request_id,
                customer=arrival.customer,
                adapter=adapter,
                repeatable=terms.repeatable,
                deadline_ms=now_ms + deadline_ms,
                priority=terms.priority,
                newcomer=customer is not None and customer.newcomer,
                weight=customer.weight if customer is not None else 1.0,
                any_version=arrival.completion.version is None,
            )
        )
        context.journal.record(
            request_id,
            "admitted",
            customer=arrival.customer,
            adapter=adapter,
            repeatable=terms.repeatable,
            config_version=context.config.version,
        )
        return Served(life, arrival.completion.data, now_ms, context.tasks)

    def _not_here(self, arrival: Arrival) -> NotRun:
        context = self._context
        reason = "this node is stopping" if context.stopping else "this node is not ready"
        others = order_nodes(context.serving_nodes(), None, arrival.completion.adapter)
        return NotRun(reason, 500, try_address=others[0].http if others else None)


def _digest(completion: Completion) -> bytes:
    """Return what tells one body from another under the same key.

    Taken from the checked content, not from the bytes: a node that passes the request on encodes it
    anew, and the same request must not look like another one then.
    """
    return hashlib.sha256(orjson.dumps(completion.data, option=orjson.OPT_SORT_KEYS)).digest()
