"""Faults of customers: one sends many times its usual requests."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from .const import CUSTOMER_BY_KEY
from .customers import Rush

if TYPE_CHECKING:
    from .faults import FaultInjector

RUSH_TIMES: Final = (4.0, 8.0)
"""Least and most additional requests, as a multiple of the customer's usual ones."""

RUSH_S: Final = (4.0, 7.0)
"""Least and longest duration; long enough for the usage of customers (2 s) to be known."""

CALM_SHARE: Final = 0.5
"""How often no other trouble begins during a rush; beside faults, its requests are not judged."""


def customer_rushes(injector: FaultInjector) -> None:
    """One customer sends many times its usual requests, unless one already does."""
    rng, now_ms = injector.rng, round(time.time() * 1000)
    if injector.rushes and now_ms < injector.rushes[-1].until_ms:
        return
    customer = rng.choice(sorted({name for name in CUSTOMER_BY_KEY.values() if name}))
    for_s = rng.uniform(*RUSH_S)
    injector.rushes.append(Rush(customer, now_ms, now_ms + round(for_s * 1000)))
    injector.fleet.rush(customer, rng.uniform(*RUSH_TIMES), for_s)
    if rng.random() < CALM_SHARE:
        injector.calm_until = time.monotonic() + for_s
