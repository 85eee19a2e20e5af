"""The aggregate of the configuration in force; it only ever moves forward."""

from __future__ import annotations

import hashlib

import attrs

from ..core.adapter import AdapterRef
from ..core.invariant import require
from .models import (
    Adapter,
    Change,
    Customer,
    MoveVersion,
    Objective,
    PutAdapters,
    PutCustomer,
    PutObjective,
    PutRunner,
    PutService,
    RemoveAdapters,
    RemoveCustomer,
    RunnerEntry,
    ServiceEntry,
    converter,
)


class Configuration:
    """Holds one version of the configuration and applies changes in order."""

    def __init__(self, version: int = 0) -> None:
        self.version = version
        self.customer_by_name: dict[str, Customer] = {}
        self.customer_by_key: dict[str, Customer] = {}
        self.adapter_by_name: dict[str, Adapter] = {}
        self.runner_by_id: dict[str, RunnerEntry] = {}
        self.service_by_name: dict[str, ServiceEntry] = {}
        self.objective_by_name: dict[str, Objective] = {}

    def apply(self, version: int, changes: tuple[Change, ...]) -> bool:
        """Apply the changes that lead to a version.

        A poller may be given an old row, or two pollers may answer out of order: anything but the
        very next version is left alone, so the configuration never goes back and skips nothing.

        :returns: whether the version was applied.
        """
        if version != self.version + 1:
            return False
        for change in changes:
            self._apply_one(change)
        require(version > self.version, "the configuration never reverts")
        self.version = version
        return True

    def resolve(self, customer: str, name: str, version: int | None) -> AdapterRef | str:
        """Return the adapter version that a customer's request gets, or why it gets none.

        An adapter of another customer is answered like one that does not exist, so that names
        can't be probed.
        """
        adapter = self.adapter_by_name.get(name)
        if adapter is None or adapter.customer != customer:
            return "unknown adapter"
        wanted = adapter.current if version is None else version
        if wanted not in adapter.versions:
            return "unknown version"
        if wanted in adapter.closing:
            return "version is being retired"
        return AdapterRef(name, wanted)

    def customer_of_key(self, bearer_key: str) -> Customer | None:
        """Return the customer that a bearer key names.

        The look-up is by the key's SHA-256, so its timing tells nothing about the key.
        """
        return self.customer_by_key.get(hashlib.sha256(bearer_key.encode()).hexdigest())

    def adapters_of(self, customer: str) -> list[Adapter]:
        """Return the adapters of a customer."""
        return [
            adapter for adapter in self.adapter_by_name.values() if adapter.customer == customer
        ]

    def snapshot(self) -> dict:
        """Return everything as plain data."""
        return {
            "version": self.version,
            "customers": [converter.unstructure(c) for c in self.customer_by_name.values()],
            "adapters": [converter.unstructure(a) for a in self.adapter_by_name.values()],
            "runners": [converter.unstructure(r) for r in self.runner_by_id.values()],
            "services": [converter.unstructure(s) for s in self.service_by_name.values()],
            "objectives": [converter.unstructure(o) for o in self.objective_by_name.values()],
        }

    @classmethod
    def from_snapshot(cls, data: dict) -> Configuration:
        """Build a configuration from :meth:`snapshot`."""
        config = cls(data["version"])
        for customer in data["customers"]:
            config._put_customer(converter.structure(customer, Customer))
        for adapter in data["adapters"]:
            entry = converter.structure(adapter, Adapter)
            config.adapter_by_name[entry.name] = entry
        for runner in data["runners"]:
            runner_entry = converter.structure(runner, RunnerEntry)
            config.runner_by_id[runner_entry.runner_id] = runner_entry
        for objective in data["objectives"]:
            promised = converter.structure(objective, Objective)
            config.objective_by_name[promised.name] = promised
        for service in data["services"]:
            service_entry = converter.structure(service, ServiceEntry)
            config.service_by_name[service_entry.name] = service_entry
        return config

    def _apply_one(self, change: Change) -> None:
        match change:
            case PutCustomer(customer=customer):
                self._put_customer(customer)
            case PutAdapters(adapters=adapters):
                self.adapter_by_name.update({entry.name: entry for entry in adapters})
            case PutRunner(runner=runner):
                self.runner_by_id[runner.runner_id] = runner
            case PutService(service=service):
                self.service_by_name[service.name] = service
            case RemoveCustomer(name=name):
                self._remove_customer(name)
            case RemoveAdapters(names=names):
                for name in names:
                    self.adapter_by_name.pop(name, None)
            case PutObjective(objective=objective):
                self.objective_by_name[objective.name] = objective
            case MoveVersion():
                self._move_version(change)

    def _put_customer(self, customer: Customer) -> None:
        earlier = self.customer_by_name.get(customer.name)
        if earlier is not None:
            self.customer_by_key.pop(earlier.key_sha256, None)
        self.customer_by_name[customer.name] = customer
        self.customer_by_key[customer.key_sha256] = customer

    def _remove_customer(self, name: str) -> None:
        customer = self.customer_by_name.pop(name, None)
        if customer is not None:
            self.customer_by_key.pop(customer.key_sha256, None)
        for adapter in self.adapters_of(name):
            del self.adapter_by_name[adapter.name]

    def _move_version(self, change: MoveVersion) -> None:
        adapter = self.adapter_by_name.get(change.adapter)
        if adapter is None:
            return
        closing = set(adapter.closing) - {change.version}
        if change.close_previous and adapter.current != change.version:
            closing.add(adapter.current)
        self.adapter_by_name[change.adapter] = attrs.evolve(
            adapter,
            versions=tuple(sorted({*adapter.versions, change.version})),
            current=change.version,
            closing=tuple(sorted(closing)),
        )
