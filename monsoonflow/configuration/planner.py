"""Turns an operator's intent into a plan; nothing changes before the plan is confirmed."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import attrs

from ..core.adapter import MAX_VERSION, NAME_PATTERN
from ..placement.load_priority import BACKGROUND_EVERY
from .aggregate import Configuration
from .models import (
    Adapter,
    Change,
    Customer,
    MoveVersion,
    Objective,
    Plan,
    PlanState,
    PutAdapters,
    PutCustomer,
    PutObjective,
    PutRunner,
    PutService,
    RemoveAdapters,
    RemoveCustomer,
    RunnerEntry,
    ServiceEntry,
    Step,
    converter,
)

ADAPTERS_PER_STEP = 500
RETIRE_DRAIN_MS = 60_000


@dataclass(frozen=True, slots=True)
class IntentError:
    """Tells why an intent makes no plan."""

    reason: str


@attrs.frozen(slots=True)
class PlanRequest:
    """What a planner needs to know besides the intent."""

    plan_id: str
    operator: str
    now_unix_ms: int
    loads_per_second: float


@attrs.frozen(slots=True)
class Draft:
    """The part of a plan that depends on the kind of intent."""

    steps: tuple[Step, ...]
    undo: tuple[Change, ...]
    effects: tuple[str, ...]
    loads: int = 0
    assumptions: tuple[str, ...] = ()


def propose(intent: Any, config: Configuration, request: PlanRequest) -> Plan | IntentError:
    """Return the plan for an intent, bound to the configuration's version.

    :param intent: the decoded JSON of the operator; not trusted.
    """
    if not isinstance(intent, dict):
        return IntentError("an intent is a JSON object")
    drafter = DRAFTER_BY_KIND.get(intent.get("kind"))
    if drafter is None:
        return IntentError(f"kind must be one of {', '.join(sorted(DRAFTER_BY_KIND))}")
    try:
        draft = drafter(intent, config, request)
    except (KeyError, TypeError, ValueError, AttributeError, ExceptionGroup) as error:
        return IntentError(f"malformed intent: {_first_cause(error)}")
    if isinstance(draft, IntentError):
        return draft
    return Plan(
        plan_id=request.plan_id,
        operator=request.operator,
        intent=intent,
        base_version=config.version,
        steps=draft.steps,
        effects=draft.effects,
        assumptions=(
            f"the weight store allows {request.loads_per_second:g} loads a second",
            *draft.assumptions,
        ),
        loads=draft.loads,
        load_seconds=round(draft.loads / request.loads_per_second, 1),
        undo=draft.undo,
    )


def propose_undo(original: Plan, config: Configuration, request: PlanRequest) -> Plan | IntentError:
    """Return the plan that takes back the steps of another plan that are done."""
    if original.state not in (PlanState.RUNNING, PlanState.DONE):
        return IntentError(f"plan {original.plan_id} is {original.state}; nothing to undo")
    changes = original.undo if original.steps_done else ()
    return Plan(
        plan_id=request.plan_id,
        operator=request.operator,
        intent={"kind": "undo", "plan_id": original.plan_id},
        base_version=config.version,
        steps=(Step(f"take back plan {original.plan_id}", tuple(changes)),),
        effects=(
            f"{original.steps_done} of {len(original.steps)} steps are taken back",
            "steps not yet done will not be done",
        ),
        assumptions=("nothing else has changed the same entries since",),
        loads=0,
        load_seconds=0.0,
    )


def _first_cause(error: BaseException) -> str:
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    return f"missing {error}" if isinstance(error, KeyError) else str(error) or type(error).__name__


def _bring_in(intent: dict, config: Configuration, request: PlanRequest) -> Draft | IntentError:
    customer = converter.structure(intent["customer"], Customer)
    adapters = [
        converter.structure({**entry, "customer": customer.name}, Adapter)
        for entry in intent["adapters"]
    ]
    problem = _customer_problem(customer, config) or _adapters_problem(adapters, config)
    if problem is not None:
        return IntentError(problem)
    newcomer = attrs.evolve(customer, newcomer=True)
    steps = [Step(f"register customer {customer.name}", (PutCustomer(newcomer),))]
    for start in range(0, len(adapters), ADAPTERS_PER_STEP):
        batch = tuple(adapters[start : start + ADAPTERS_PER_STEP])
        steps.append(Step(f"bring {len(batch)} adapters into service", (PutAdapters(batch),)))
    settling_ms = int(len(adapters) / request.loads_per_second * BACKGROUND_EVERY * 1000)
    steps.append(
        Step(
            f"end the bounded share of loads of {customer.name}",
            (PutCustomer(attrs.evolve(customer, newcomer=False)),),
            request.now_unix_ms + settling_ms,
        )
    )
    earlier = config.customer_by_name.get(customer.name)
    undo: list[Change] = [PutCustomer(earlier) if earlier else RemoveCustomer(customer.name)]
    replaced = tuple(
        config.adapter_by_name[entry.name]
        for entry in adapters
        if entry.name in config.adapter_by_name
    )
    added = tuple(entry.name for entry in adapters if entry.name not in config.adapter_by_name)
    if earlier:
        undo.append(RemoveAdapters(added))
    if replaced:
        undo.append(PutAdapters(replaced))
    return Draft(
        steps=tuple(steps),
        undo=tuple(undo),
        loads=len(adapters),
        effects=(
            f"{len(adapters)} adapters of {customer.name} become addressable",
            f"{len(config.adapter_by_name)} adapters already in service keep their versions",
            "adapters are loaded when first asked for; while others wait for loads, at most one "
            f"load in {BACKGROUND_EVERY} is the newcomer's, for {settling_ms // 1000} s",
        ),
        assumptions=("every adapter's weights are already in the weight store",),
    )


def _customer_problem(customer: Customer, config: Configuration) -> str | None:
    if not NAME_PATTERN.fullmatch(customer.name):
        return "customer name is malformed"
    if len(customer.key_sha256) != 64 or set(customer.key_sha256) - set("0123456789abcdef"):
        return "key_sha256 must be 64 hexadecimal digits"
    if not 0 < customer.weight <= 1000:
        return "weight must be above 0 and at most 1000"
    holder = config.customer_by_key.get(customer.key_sha256)
    if holder is not None and holder.name != customer.name:
        return "that key belongs to another customer"
    return None


def _adapters_problem(adapters: list[Adapter], config: Configuration) -> str | None:
    bases = {runner.base_model for runner in config.runner_by_id.values()}
    seen: set[str] = set()
    for entry in adapters:
        if not NAME_PATTERN.fullmatch(entry.name):
            return f"adapter name {entry.name!r} is malformed"
        if entry.name in seen:
            return f"adapter {entry.name} is named twice"
        seen.add(entry.name)
        if entry.base_model not in bases:
            return f"no runner serves base model {entry.base_model!r} of adapter {entry.name}"
        if entry.current not in entry.versions or entry.current in entry.closing:
            return f"adapter {entry.name}: current must be one of its open versions"
        if not all(0 < version <= MAX_VERSION for version in entry.versions):
            return f"adapter {entry.name}: versions must be from 1 to {MAX_VERSION}"
        known = config.adapter_by_name.get(entry.name)
        if known is not None and known.customer != entry.customer:
            return f"adapter name {entry.name} is taken"
    return None


def _retire_group(intent: dict, config: Configuration, request: PlanRequest) -> Draft | IntentError:
    group, by_ms = intent["group"], intent["by_unix_ms"]
    if not isinstance(by_ms, int) or by_ms <= request.now_unix_ms:
        return IntentError("by_unix_ms must be a time to come, in milliseconds")
    members = [entry for entry in config.customer_by_name.values() if entry.group == group]
    if not group or not members:
        return IntentError(f"no customer is in group {group!r}")
    adapters = [entry for member in members for entry in config.adapters_of(member.name)]
    closed = tuple(attrs.evolve(entry, closing=entry.versions) for entry in adapters)
    close_at = max(request.now_unix_ms, by_ms - RETIRE_DRAIN_MS)
    return Draft(
        steps=(
            Step(f"close group {group} to new requests", (PutAdapters(closed),), close_at),
            Step(
                f"remove {len(members)} customers and {len(adapters)} adapters",
                tuple(RemoveCustomer(member.name) for member in members),
                by_ms,
            ),
        ),
        undo=(*(PutCustomer(member) for member in members), PutAdapters(tuple(adapters))),
        effects=(
            f"{len(members)} customers get no new work from {RETIRE_DRAIN_MS // 1000} s before the "
            "end time",
            "requests already running end undisturbed",
        ),
    )


def _move_version(
    intent: dict, config: Configuration, _request: PlanRequest
) -> Draft | IntentError:
    adapter = config.adapter_by_name.get(intent["adapter"])
    version, close = intent["version"], intent.get("close_previous", False)
    if adapter is None:
        return IntentError("unknown adapter")
    if type(version) is not int or not 0 < version <= MAX_VERSION or type(close) is not bool:
        return IntentError("version must be a positive integer, close_previous true or false")
    return Draft(
        steps=(
            Step(
                f"move {adapter.name} from version {adapter.current} to {version}",
                (MoveVersion(adapter.name, version, close),),
            ),
        ),
        undo=(PutAdapters((adapter,)),),
        effects=("requests admitted before the change end on the version they were admitted with",),
        loads=1,
    )


def _drain_runner(
    intent: dict, config: Configuration, _request: PlanRequest
) -> Draft | IntentError:
    runner = config.runner_by_id.get(intent["runner_id"])
    if runner is None:
        return IntentError("unknown runner")
    others = [
        entry
        for entry in config.runner_by_id.values()
        if entry.base_model == runner.base_model and not entry.draining and entry != runner
    ]
    if not others:
        return IntentError(f"no other runner serves base model {runner.base_model!r}")
    return Draft(
        steps=(
            Step(
                f"drain {runner.runner_id}",
                (PutRunner(attrs.evolve(runner, draining=True)),),
            ),
        ),
        undo=(PutRunner(runner),),
        effects=(
            "the runner gets no new requests; those running end undisturbed",
            f"its adapters move to {len(others)} other runners as they are asked for",
        ),
    )


def _put_runner(intent: dict, config: Configuration, _request: PlanRequest) -> Draft | IntentError:
    runner = converter.structure(intent["runner"], RunnerEntry)
    if not NAME_PATTERN.fullmatch(runner.runner_id):
        return IntentError("runner_id is malformed")
    return Draft(
        steps=(Step(f"add runner {runner.runner_id}", (PutRunner(runner),)),),
        undo=(),
        effects=("a node claims the runner and sends it requests",),
    )


def _put_service(intent: dict, config: Configuration, _request: PlanRequest) -> Draft | IntentError:
    service = converter.structure(intent["service"], ServiceEntry)
    if not NAME_PATTERN.fullmatch(service.name) or not service.addresses:
        return IntentError("a service needs a name and at least one address")
    return Draft(
        steps=(Step(f"add service {service.name}", (PutService(service),)),),
        undo=(),
        effects=("the service's calls are routed to its servers",),
    )


def _put_objective(
    intent: dict, config: Configuration, _request: PlanRequest
) -> Draft | IntentError:
    objective = converter.structure(intent["objective"], Objective)
    if not 0 < objective.share < 1 or not 0 <= objective.priority <= 3:
        return IntentError("share must be between 0 and 1, priority from 0 to 3")
    if objective.first_token_ms < 1:
        return IntentError("first_token_ms must be at least 1")
    earlier = config.objective_by_name.get(objective.name)
    return Draft(
        steps=(Step(f"set the objective of {objective.name}", (PutObjective(objective),)),),
        undo=(PutObjective(earlier),) if earlier else (),
        effects=("the burn report counts against it; no request is treated otherwise",),
    )


DRAFTER_BY_KIND: dict[
    str | None, Callable[[dict, Configuration, PlanRequest], Draft | IntentError]
] = {
    "bring_in": _bring_in,
    "retire_group": _retire_group,
    "move_version": _move_version,
    "drain_runner": _drain_runner,
    "put_runner": _put_runner,
    "put_service": _put_service,
    "put_objective": _put_objective,
}


def new_plan_id(operator: str, intent: Any, nonce: str) -> str:
    """Return a short identifier for a plan."""
    return "p-" + hashlib.sha256(f"{operator}|{intent!r}|{nonce}".encode()).hexdigest()[:12]
