"""Reports from the metrics of entry nodes how fast the objectives' budgets burn."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import attrs
from prometheus_client.parser import text_string_to_metric_families

OBJECTIVES = "monsoonflow_entry_objectives"


@attrs.frozen(slots=True)
class EntryBurn:
    """One objective's budget.

    :param share: of requests that should meet the objective.
    :param by_result: requests by result: met, late, missed.
    """

    kind: str
    priority: str
    share: float
    by_result: dict[str, int]

    @property
    def rate(self) -> float:
        """Return how fast the budget burns; 1 spends it exactly.

        >>> EntryBurn("stream", "0", 0.95, {"met": 90, "late": 8, "missed": 2}).rate
        2.0
        """
        whole = sum(count for result, count in self.by_result.items() if result != "left")
        bad = whole - self.by_result.get("met", 0)
        return round(bad / whole / (1 - self.share), 3) if whole else 0.0

    def line(self) -> str:
        """Return it as text."""
        counts = ", ".join(f"{result} {count}" for result, count in sorted(self.by_result.items()))
        return f"{self.kind:<15} priority {self.priority}: burn {self.rate:6.2f} ({counts})"


def burns(texts: Iterable[str], share: float) -> list[EntryBurn]:
    """Return the burn of each objective over several nodes.

    :param texts: each node's metrics as it tells them.
    """
    counts: dict[tuple[str, str], Counter[str]] = {}
    for text in texts:
        for family in text_string_to_metric_families(text):
            if family.name != OBJECTIVES:
                continue
            for sample in family.samples:
                if sample.name.endswith("_total"):
                    labels = sample.labels
                    found = counts.setdefault((labels["kind"], labels["priority"]), Counter())
                    found[labels["result"]] += int(sample.value)
    return [
        EntryBurn(kind, priority, share, dict(found))
        for (kind, priority), found in sorted(counts.items())
    ]
