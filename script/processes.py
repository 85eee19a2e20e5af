"""Starts processes on loopback, gives them signals, and reads what they wrote."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


class Processes:
    """Processes by name; all end with :meth:`close`.

    :param folder: takes what each process writes, to standard output and to standard error.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.by_name: dict[str, subprocess.Popen] = {}

    def start(
        self,
        name: str,
        module: str,
        *arguments: str,
        root: Path = ROOT,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        """Start a module of a checkout as a process, with a pipe for its standard input.

        :param root: the checkout; its code goes before any that is installed.
        """
        out, err = self._files(name)
        with out.open("ab") as written, err.open("ab") as errors:
            self.by_name[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=root,
                env={**os.environ, "PYTHONPATH": str(root), **(environment or {})},
                stdin=subprocess.PIPE,
                stdout=written,
                stderr=errors,
            )

    def signal(self, name: str, number: int) -> None:
        """Send a process a signal."""
        self.by_name[name].send_signal(number)

    def end(self, name: str) -> None:
        """End a process at once, where it still runs."""
        process = self.by_name[name]
        if process.poll() is None:
            process.kill()
            process.wait()
        with contextlib.suppress(BrokenPipeError):
            process.stdin.close()

    def stop(self, name: str, within_s: float) -> int:
        """Stop a process gracefully and return its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.by_name[name].wait(within_s)

    def runs(self, name: str) -> bool:
        """Tell whether a process runs."""
        return self.by_name[name].poll() is None

    def written(self, name: str) -> str:
        """Return what a process wrote to standard output."""
        return self._files(name)[0].read_text(errors="replace")

    def errors(self, name: str) -> str:
        """Return what a process wrote to standard error."""
        return self._files(name)[1].read_text(errors="replace")

    def close(self) -> None:
        """End every process that was started."""
        running = [process for process in self.by_name.values() if process.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.by_name.values():
            process.wait()
            with contextlib.suppress(BrokenPipeError):
                process.stdin.close()

    def _files(self, name: str) -> tuple[Path, Path]:
        return self.folder / f"{name}.out", self.folder / f"{name}.err"
