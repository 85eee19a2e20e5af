"""The command that reports how fast the objectives' budgets burn."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import ClassVar

import attrs
from cleo.helpers import option
from cleo.io.inputs.option import Option

from ..report.entry_burn import burns
from ..report.merge import Burn, lines, merge
from .operate import COMMON, EXIT_FAILED, EXIT_USAGE, Remote


class ReportBurnCommand(Remote):
    """Reports the burn of every objective, gathered from all nodes."""

    name = "report burn"
    description = "Report how fast each objective's budget burns, over all nodes."
    options: ClassVar[list[Option]] = [
        *COMMON,
        option(
            "metrics",
            None,
            "Metrics of an entry node in a file, in place of asking nodes; may be repeated.",
            False,
            multiple=True,
        ),
        option(
            "share", None, "With --metrics: share that should be on time.", False, default="0.95"
        ),
        option("plot", None, "Write a plot to this PNG file (needs matplotlib).", flag=False),
    ]

    def handle(self) -> int:
        """Gather, merge and print."""
        if self.option("metrics"):
            return self._from_metrics()
        status = self.call("GET", "/v1/status")
        if status is None:
            return EXIT_FAILED
        answers, silent = [], []
        for node in status["nodes"]:
            data = self.call("GET", "/v1/burn", at=f"{self.scheme()}://{node['address']}")
            (answers if data is not None else silent).append(data or node["node"])
        if silent:
            print(f"without {', '.join(silent)}, which did not answer", file=sys.stderr)
        burns = merge(answers)
        path = self.option("plot")
        if path and not _plot(burns, Path(path)):
            print("--plot needs the matplotlib package", file=sys.stderr)
            return EXIT_USAGE
        return self.show([attrs.asdict(burn) for burn in burns], lines(burns))

    def _from_metrics(self) -> int:
        try:
            share = float(self.option("share"))
            texts = [Path(name).read_text() for name in self.option("metrics")]
        except (OSError, ValueError) as error:
            print(error, file=sys.stderr)
            return EXIT_USAGE
        if not 0 < share < 1:
            print("--share must be between 0 and 1", file=sys.stderr)
            return EXIT_USAGE
        found = burns(texts, share)
        return self.show([attrs.asdict(burn) for burn in found], [b.line() for b in found])


def _plot(burns: list[Burn], path: Path) -> bool:
    try:
        import matplotlib
    except ImportError:
        return False
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, panel = pyplot.subplots(figsize=(8, 4))
    names = [f"{burn.objective} {burn.window}" for burn in burns]
    panel.barh(names, [burn.rate for burn in burns])
    panel.axvline(1.0, color="black", linestyle="--")
    panel.set_xlabel("burn rate (1 spends the budget exactly)")
    figure.tight_layout()
    figure.savefig(path)
    return True
