"""Makes the requests of a policy measurement from a seed."""

from __future__ import annotations

import random
from collections.abc import Callable
from itertools import accumulate

import attrs

from monsoonflow.core.adapter import AdapterRef


@attrs.frozen(slots=True)
class Place:
    """One user's figures, as the brief states them; what it leaves open is a parameter.

    :param slots: adapter slots per runner; not in the brief ("a few"), swept.
    :param max_batch: places in an engine's step; not in the brief, swept.
    """

    name: str
    runners: int
    loads_per_second: float
    step_ms: int
    adapters: int = 3_000
    slots: int = 6
    max_batch: int = 16


ASSOCIATION = Place("association", 6, 3.0, 10)
DROUGHT_DESK = Place("drought desk", 5, 2.0, 8)


@attrs.frozen(slots=True)
class Request:
    """One request of a workload."""

    number: int
    at_ms: int
    adapter: AdapterRef
    customer: str
    tokens: int
    priority: int = 1


@attrs.frozen(slots=True)
class Workload:
    """Requests and what goes wrong meanwhile.

    :param restart_at_ms: when one runner restarts empty.
    :param slow_from_ms: from when the weight store runs at half speed.
    :param fail_loads: share of loads that fail.
    :param lag_ms: how old load reports are.
    """

    name: str
    requests: list[Request]
    lag_ms: int = 500
    restart_at_ms: int | None = None
    slow_from_ms: int | None = None
    fail_loads: float = 0.0


class Popularity:
    """Draws adapters with Zipf-like popularity; the ranks can be shuffled anew."""

    def __init__(self, rng: random.Random, names: list[str], skew: float) -> None:
        self._rng = rng
        self._names = list(names)
        rng.shuffle(self._names)
        weights = [1 / (rank + 1) ** skew for rank in range(len(names))]
        self._cumulative = list(accumulate(weights))

    def shift(self, share: float) -> None:
        """Give a share of the ranks to other adapters."""
        count = len(self._names)
        for rank in range(count):
            if self._rng.random() < share:
                other = self._rng.randrange(count)
                self._names[rank], self._names[other] = self._names[other], self._names[rank]

    def draw(self) -> str:
        """Return an adapter."""
        return self._rng.choices(self._names, cum_weights=self._cumulative)[0]


@attrs.frozen(slots=True)
class Load:
    """How much is asked.

    :param rate: requests a second.
    :param skew: exponent of popularity.
    :param tokens: mean length of an answer.
    """

    rate: float
    skew: float
    tokens: int
    seconds: int


def _make(
    place: Place,
    load: Load,
    seed: int,
    rate_at: Callable[[float], float] = lambda _share: 1.0,
    shifts: tuple[float, ...] = (),
) -> list[Request]:
    rng = random.Random(seed)
    names = [f"a{number}" for number in range(place.adapters)]
    popularity = Popularity(rng, names, load.skew)
    requests: list[Request] = []
    at_ms = 0.0
    pending = [share * load.seconds * 1000 for share in shifts]
    while True:
        share = at_ms / (load.seconds * 1000)
        at_ms += rng.expovariate(load.rate * rate_at(share)) * 1000
        if at_ms >= load.seconds * 1000:
            return requests
        if pending and at_ms >= pending[0]:
            pending.pop(0)
            popularity.shift(0.3)
        adapter = popularity.draw()
        tokens = max(4, min(int(rng.expovariate(1 / load.tokens)), load.tokens * 5))
        customer = f"c{int(adapter[1:]) % 12}"
        requests.append(
            Request(len(requests), int(at_ms), AdapterRef(adapter, 1), customer, tokens)
        )


def _wave(place: Place, load: Load, seed: int) -> list[Request]:
    """Add a newcomer whose 1,000 adapters wake up over a third of the time."""
    base = _make(place, load, seed)
    rng = random.Random(seed + 1)
    third_ms = load.seconds * 1000 // 3
    wave = [
        Request(
            0,
            third_ms + rng.randrange(third_ms),
            AdapterRef(f"n{number}", 1),
            "newcomer",
            max(4, int(rng.expovariate(1 / load.tokens))),
        )
        for number in range(1_000)
    ]
    merged = sorted([*base, *wave], key=lambda request: (request.at_ms, request.adapter))
    return [attrs.evolve(request, number=number) for number, request in enumerate(merged)]


def workloads(place: Place, load: Load, seed: int) -> list[Workload]:
    """Return every workload of the measurement."""
    steady = _make(place, load, seed)
    middle_ms = load.seconds * 500
    return [
        Workload("steady", steady),
        Workload("popularity shifts", _make(place, load, seed, shifts=(0.3, 0.6))),
        Workload("morning rush", _make(place, load, seed, lambda s: 2.5 if 0.4 < s < 0.6 else 0.7)),
        Workload("newcomer wave", _wave(place, load, seed)),
        Workload("runner restarts", steady, restart_at_ms=middle_ms),
        Workload("store at half speed", steady, slow_from_ms=load.seconds * 333),
        Workload("loads fail 1 in 5", steady, fail_loads=0.2),
        Workload("reports 0.1 s late", steady, lag_ms=100),
        Workload("reports 2 s late", steady, lag_ms=2_000),
    ]
