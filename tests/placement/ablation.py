"""Prints a table of replays with each part of the order of waiting disabled once.

``PYTHONPATH=. python -m tests.placement.ablation``
"""

from __future__ import annotations

import attrs

from monsoonflow.placement.queue_policy import QueuePolicy
from tests.placement.load_replay import LoadReplay, Stream, Tally, zipf

FOR_MS = 16_000
SEEDS = (1, 2, 3)
PARTS = ("", *(field.name for field in attrs.fields(QueuePolicy)))
FLAT_PER_S, ZIPF_PER_S = 14, 35
"""Requests that nine slots serve of four customers with 40 adapters each, if more are offered."""


def _customer(name: str, rate_per_s: float, **changes: object) -> Stream:
    return Stream(name, rate_per_s, name, **changes)


def _loads() -> dict[str, list[Stream]]:
    small = [_customer(f"small{number}", 2) for number in range(3)]
    shared, distinct = (1.0,) * 120, (1.0,) * 2_000
    loads = {
        "observation 3": [*small, _customer("hot", 50)],
        "the same, hot with 10 adapters": [*small, _customer("hot", 50, weights=(1.0,) * 10)],
        "two hot customers": [*small[:2], _customer("hot0", 50), _customer("hot1", 50)],
        "hot customer stops after 8 s": [*small, _customer("hot", 50, until_ms=8_000)],
        "observation 4, 120 adapters": _two_kinds(shared),
        "observation 4, distinct adapters": _two_kinds(distinct),
    }
    for label, per_s, weights in (
        ("flat", FLAT_PER_S, (1.0,) * 40),
        ("Zipf", ZIPF_PER_S, zipf(40)),
    ):
        for factor in (1.3, 2, 4):
            loads[f"four equal customers, {label}, {factor} times"] = [
                _customer(f"c{number}", factor * per_s / 4, weights=weights) for number in range(4)
            ]
    return loads


def _two_kinds(weights: tuple[float, ...]) -> list[Stream]:
    return [
        Stream("urgent", 15, None, 0, 1_000, 2_500, weights),
        Stream("patient", 15, None, 1, 2_000, 10_000, weights),
    ]


def _summary(tallies: dict[str, Tally]) -> str:
    """Return the lowest and highest served share, the total and the wait of the first stream."""
    small = [tally for name, tally in tallies.items() if name.startswith("small")]
    groups = [small] if small else []
    groups += [[tally] for name, tally in tallies.items() if not name.startswith("small")]
    shares = [sum(t.served for t in g) / sum(t.sent for t in g) for g in groups]
    waits_ms = sorted(wait_ms for tally in groups[0] for wait_ms in tally.waits_ms)
    total_per_s = sum(tally.served for tally in tallies.values()) * 1000 / FOR_MS
    p95_s = waits_ms[int(len(waits_ms) * 0.95)] / 1000 if waits_ms else float("nan")
    return f"{' '.join(f'{s:.2f}' for s in shares)} ({total_per_s:.1f}/s, {p95_s:.2f} s)"


def main() -> None:
    """Print one row for each load and part."""
    for label, streams in _loads().items():
        run_ms = 100 if "distinct" in label else 450
        for part in PARTS:
            policy = QueuePolicy(**({part: False} if part else {}))
            runs = [
                _summary(LoadReplay(streams, seed, run_ms, policy).run(FOR_MS)) for seed in SEEDS
            ]
            print(f"| {label} | {part or 'nothing'} | {' | '.join(runs)} |", flush=True)


if __name__ == "__main__":
    main()
