"""Runs an entry process on the platform."""

from __future__ import annotations

import os
import sys

from gevent import config

# Addresses are IP numbers: without this each connection would ask a thread to resolve them.
config.resolver = "block"

from ..core.clock import MonotonicClock  # noqa: E402
from ..entry.daemon import EntryDaemon  # noqa: E402
from ..helpers import log_lines  # noqa: E402
from ..helpers.settings import SettingError  # noqa: E402
from .outside import PlatformOutside  # noqa: E402
from .settings import SettingsFile, settings_path  # noqa: E402

EXIT_USAGE = 2


def main() -> int:
    """Check the settings and run the process until it is told to stop."""
    file = SettingsFile(settings_path())
    settings = file.read()
    if isinstance(settings, SettingError):
        print(settings.line(), file=sys.stderr)
        return EXIT_USAGE
    handler = log_lines.start(os.environ.get("MONSOONFLOW_LOG_LEVEL", "info"))
    status = EntryDaemon(settings, PlatformOutside(settings, MonotonicClock()), file.reread).run()
    log_lines.flush(handler)
    return status


if __name__ == "__main__":
    sys.exit(main())
