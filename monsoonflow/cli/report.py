"""The command that reports how fast the objectives' budgets burn."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import ClassVar

import attrs
from cleo.helpers import option
from cleo.io.inputs.option import Option

from ..report.merge import Burn, lines, merge
from .operate import COMMON, EXIT_FAILED, EXIT_USAGE, Remote


class ReportBurnCommand(Remote):
    """Reports the burn of every objective, gathered from all nodes."""

    name = "report burn"
    description = "Report how fast each objective's budget burns, over all nodes."
    options: ClassVar[list[Option]] = [
        *COMMON,
        option("plot", None, "Write a plot to this PNG file (needs matplotlib).", flag=False),
    ]

    def handle(self) -> int:
        """Gather, merge and print."""
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
