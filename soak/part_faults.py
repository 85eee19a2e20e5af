"""A fault of requests: a part of prompts that crashes model runners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .const import BAD_PARTS

if TYPE_CHECKING:
    from .faults import FaultInjector


def part_turns_bad(injector: FaultInjector) -> None:
    """A part of prompts that was sound crashes each runner that begins to answer on it."""
    fleet = injector.fleet
    sound = [part for part in BAD_PARTS if part not in fleet.bad_parts]
    if sound:
        fleet.add_bad_part(injector.rng.choice(sound))
