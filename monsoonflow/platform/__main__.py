"""Runs an entry process on the platform."""

from __future__ import annotations

import os
import sys

from gevent import config

# Addresses are IP numbers: without this each connection would ask a thread to resolve them.
config.resolver = "block"

from ..core.clock import MonotonicClock  # noqa: E402
from ..entry.daemon import EntryDaemon  # noqa: E402
from ..helpers.settings import SettingError, resolve  # noqa: E402
from ..logs import lines  # noqa: E402
from .outside import PlatformOutside  # noqa: E402
from .settings import SCHEMA, SettingsFile  # noqa: E402

EXIT_USAGE = 2


def main(arguments: list[str], environ: dict[str, str]) -> int:
    """Check the settings and run the process until it is told to stop."""
    flags = dict(word.removeprefix("--").partition("=")[::2] for word in arguments)
    unknown = sorted(flags.keys() - {setting.name for setting in SCHEMA})
    values = SettingError(unknown[0], "unknown") if unknown else resolve(SCHEMA, flags, environ)
    if isinstance(values, SettingError):
        return _print_setting_error(values)
    file = SettingsFile(values["node-file"].value, values["metrics-port"].value)
    settings = file.read()
    if isinstance(settings, SettingError):
        return _print_setting_error(settings)
    handler = lines.start_logging(values["log-level"].value)
    outside = PlatformOutside(settings, MonotonicClock())
    daemon = EntryDaemon(settings, outside, file.reread)
    handler.on_drop = daemon.metrics.log_lines_dropped.inc
    status = daemon.run()
    lines.flush(handler)
    return status


def _print_setting_error(setting_error: SettingError) -> int:
    print(setting_error.line(), file=sys.stderr)
    return EXIT_USAGE


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], dict(os.environ)))
