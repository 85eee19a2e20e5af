"""Holds many streams open against a node or an engine and measures what arrives."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
import orjson  # noqa: E402
import urllib3  # noqa: E402


class Loader:
    """Keeps a number of streams busy for a time."""

    def __init__(self, given: argparse.Namespace) -> None:
        self.given = given
        self.pool = urllib3.PoolManager(maxsize=given.streams + 8)
        self.until = time.monotonic() + given.seconds
        self.tokens = self.requests = self.failed = self.refused = 0
        self.first_ms: list[float] = []
        self.gap_ms: list[float] = []
        self.refused_ms: list[float] = []

    def run(self) -> None:
        """Run all streams to the end of the time."""
        jobs = [gevent.spawn(self._stream, number) for number in range(self.given.streams)]
        gevent.joinall(jobs)

    def _stream(self, number: int) -> None:
        gevent.sleep(number / self.given.streams * self.given.ramp)
        sent = 0
        while time.monotonic() < self.until:
            self._one(number, sent)
            sent += 1

    def _one(self, number: int, sent: int) -> None:
        given = self.given
        model = f"{given.model}-{number % given.adapters}" + ("@2" if given.direct else "")
        body = {"model": model, "prompt": f"p{number}", "max_tokens": given.tokens, "stream": True}
        headers = {"Content-Type": "application/json", "Authorization": f"Bearer {given.key}"}
        if given.direct:
            headers["X-Request-Id"] = f"d{number}-{sent}.1"
            headers["X-Fencing-Number"] = "99"
        if given.deadline_ms:
            headers["X-Monsoonflow-Deadline-Ms"] = str(given.deadline_ms)
        url = given.urls[number % len(given.urls)] + "/v1/completions"
        started = time.monotonic()
        response = self.pool.request(
            "POST",
            url,
            body=orjson.dumps(body),
            headers=headers,
            preload_content=False,
            retries=False,
            timeout=urllib3.Timeout(60),
        )
        self.requests += 1
        if response.status != 200:
            error = orjson.loads(response.data or b"{}").get("error", {})
            response.release_conn()
            self.refused += 1
            self.refused_ms.append((time.monotonic() - started) * 1000)
            gevent.sleep(max(given.pause, error.get("retry_after_ms", 0) / 1000))
            return
        self._read(response, started)

    def _read(self, response: urllib3.BaseHTTPResponse, started: float) -> None:
        before = None
        ended = False
        for piece in response.stream(65_536):
            now = time.monotonic()
            count = piece.count(b"id: ")
            ended = ended or b"[DONE]" in piece
            if not count:
                continue
            self.tokens += count
            if before is None:
                self.first_ms.append((now - started) * 1000)
            else:
                self.gap_ms.append((now - before) * 1000)
            before = now
        response.release_conn()
        self.failed += not ended


def quantiles(values: list[float]) -> dict[str, float]:
    """Return the median and two high percentiles."""
    values = sorted(values) or [0.0]
    return {
        name: round(values[min(len(values) - 1, int(len(values) * share))], 2)
        for name, share in (("50", 0.5), ("95", 0.95), ("99", 0.99))
    }


def main() -> int:
    """Run the load and print the figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("urls", nargs="+")
    parser.add_argument("--model", default="acme")
    parser.add_argument("--adapters", type=int, default=8)
    parser.add_argument("--key", default="")
    parser.add_argument("--streams", type=int, default=10)
    parser.add_argument("--tokens", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--ramp", type=float, default=2.0)
    parser.add_argument("--pause", type=float, default=0.05)
    parser.add_argument("--deadline-ms", type=int, default=0)
    parser.add_argument("--direct", action="store_true", help="the URL is an engine's")
    given = parser.parse_args()
    loader = Loader(given)
    started = time.monotonic()
    loader.run()
    took = time.monotonic() - started
    figures = {
        "seconds": took,
        "requests": loader.requests,
        "failed": loader.failed,
        "refused": loader.refused,
        "tokens": loader.tokens,
        "first_ms": quantiles(loader.first_ms),
        "gap_ms": quantiles(loader.gap_ms),
        "refused_ms": quantiles(loader.refused_ms),
    }
    print(orjson.dumps(figures).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
