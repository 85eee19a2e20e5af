"""Puts the counts of all nodes together and says how fast each budget burns."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen(slots=True)
class Burn:
    """One objective in one window.

    :param rate: 1 burns the budget exactly in the objective's period; above 1, sooner.
    :param left: the share of the window's budget that is left; negative when overspent.
    """

    objective: str
    window: str
    requests: int
    bad: int
    rate: float
    left: float
    causes: dict[str, int]


def merge(answers: list[dict[str, Any]]) -> list[Burn]:
    """Return the burn of every objective and window, over the answers of all nodes."""
    objectives = {
        f"{entry['priority']}/{entry['group']}": entry
        for answer in answers
        for entry in answer["objectives"]
    }
    burns = []
    for name, objective in sorted(objectives.items()):
        windows = [answer["counts"].get(name, {}) for answer in answers]
        for window in dict.fromkeys(key for entry in windows for key in entry):
            burns.append(_burn(name, window, objective["share"], windows))
    return burns


def lines(burns: list[Burn]) -> list[str]:
    """Return the report as text."""
    if not burns:
        return ["no objectives, or no requests yet"]
    told = [
        f"{'class/group':<16}{'window':<8}{'requests':>9}{'bad':>7}{'burn':>8}{'left':>8}  causes"
    ]
    for burn in burns:
        causes = ", ".join(
            f"{cause} {count}"
            for cause, count in sorted(burn.causes.items(), key=lambda entry: -entry[1])
        )
        told.append(
            f"{burn.objective:<16}{burn.window:<8}{burn.requests:>9}{burn.bad:>7}"
            f"{burn.rate:>8.2f}{burn.left:>7.0%}  {causes}"
        )
    return told


def _burn(name: str, window: str, share: float, windows: list[dict[str, Any]]) -> Burn:
    counts = [entry[window] for entry in windows if window in entry]
    good = sum(entry["good"] for entry in counts)
    causes: dict[str, int] = {}
    for entry in counts:
        for cause, count in entry["bad"].items():
            causes[cause] = causes.get(cause, 0) + count
    bad = sum(causes.values())
    total = good + bad
    rate = (bad / total) / (1 - share) if total else 0.0
    return Burn(name, window, total, bad, round(rate, 3), round(1 - rate, 3), causes)
