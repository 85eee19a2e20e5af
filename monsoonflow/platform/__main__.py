"""Command that runs an entry process on the users' platform."""

from __future__ import annotations

import gc
import os
import sys

# Most of what the imports create lives as long as the process. ``EntryDaemon.run`` enables garbage
# collection when the process serves; collections before cost a tenth of the time of the imports.
gc.disable()

from gevent import config  # noqa: E402

# Addresses are numeric and need no DNS: gevent's default resolver would hand the address of each
# connection to a thread.
config.resolver = "block"

from ..core.clock import MonotonicClock  # noqa: E402
from ..entry.daemon import EntryDaemon  # noqa: E402
from ..helpers.settings import SettingError, resolve  # noqa: E402
from ..logs import lines  # noqa: E402
from .outside import PlatformOutside  # noqa: E402
from .settings import SCHEMA, SettingsFile  # noqa: E402

EXIT_USAGE = 2


def main(arguments: list[str], environ: dict[str, str]) -> int:
    """Check the settings, run the process until it is asked to stop, and return the exit status."""
    flags = dict(argument.removeprefix("--").partition("=")[::2] for argument in arguments)
    unknown = sorted(flags.keys() - {setting.name for setting in SCHEMA})
    values = SettingError(unknown[0], "unknown") if unknown else resolve(SCHEMA, flags, environ)
    if isinstance(values, SettingError):
        return _print_setting_error(values)
    settings_file = SettingsFile(values["node-file"].value, values["metrics-port"].value)
    settings = settings_file.read()
    if isinstance(settings, SettingError):
        return _print_setting_error(settings)
    handler = lines.start_logging(values["log-level"].value)
    integration = PlatformOutside(settings, MonotonicClock())
    daemon = EntryDaemon(settings, integration, settings_file.reread)
    handler.on_drop = daemon.metrics.log_lines_dropped.inc
    status = daemon.run()
    lines.flush(handler)
    return status


def _print_setting_error(setting_error: SettingError) -> int:
    print(setting_error.line(), file=sys.stderr)
    return EXIT_USAGE


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], dict(os.environ)))
