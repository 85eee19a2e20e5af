"""Customers: who may send requests, how urgent they are and how much they may use."""

from __future__ import annotations

from collections.abc import Iterable

import attrs


@attrs.frozen(slots=True)
class Quota:
    """What a customer may use, summed over all nodes.

    :param rate_per_s: units per second in the long run.
    :param burst: units in addition at any time.
    :param counts_tokens: whether a unit is a token; else it is a request.
    :param plain_cost: units of a request that states no number of tokens.
    """

    rate_per_s: float
    burst: float = 0.0
    counts_tokens: bool = False
    plain_cost: int = 1

    def cost(self, tokens: int) -> int:
        """Return the units of a request.

        :param tokens: prompt tokens and maximum output tokens together; 0 if none are stated.

        >>> Quota(10, counts_tokens=True, plain_cost=200).cost(1_500), Quota(10).cost(1_500)
        (1500, 1)
        """
        if not self.counts_tokens:
            return 1
        return tokens or self.plain_cost


@attrs.frozen(slots=True)
class Customer:
    """A customer.

    :param priority: 0 is the most urgent; takes precedence over the priority of a route.
    :param quota: ``None`` without a limit.
    """

    name: str
    priority: int = 0
    quota: Quota | None = None


@attrs.frozen(slots=True)
class Identity:
    """Whose request it is, in a configuration with customers.

    :param customer: ``None`` for a request without a known key on a public route.
    """

    customer: Customer | None


@attrs.frozen(slots=True)
class Unauthorized:
    """Why a request is not allowed; the reason never contains the key."""

    reason: str


def index_keys(customers: Iterable[tuple[Customer, Iterable[str]]]) -> dict[str, Customer]:
    """Return the customer of each API key.

    :param customers: each with its keys.
    :raises ValueError: if two customers have the same name, or share a key: either of them would be
        named to servers for the other's requests.
    """
    customer_by_key: dict[str, Customer] = {}
    names: set[str] = set()
    for customer, keys in customers:
        if customer.name in names:
            raise ValueError(f"two customers are named {customer.name}")
        names.add(customer.name)
        for key in keys:
            other = customer_by_key.setdefault(key, customer)
            if other is not customer:
                raise ValueError(f"customers {other.name} and {customer.name} share a key")
    return customer_by_key
