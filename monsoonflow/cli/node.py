"""The commands that run a node and show its settings."""

from __future__ import annotations

import os
import sys
from typing import ClassVar

import orjson
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from ..helpers import logfmt
from ..helpers.settings import SettingError, env_name
from ..helpers.tls import TlsContexts, TlsProblem, open_contexts
from ..node.settings import SCHEMA, NodeSettings, load_settings

EXIT_USAGE = 2


def _options() -> list[Option]:
    return [
        option(
            setting.name,
            None,
            f"{setting.meaning}; {setting.allowed}"
            + (f" [{setting.default or 'none'}]" if setting.default is not None else " (required)"),
            flag=False,
        )
        for setting in SCHEMA
    ]


def _resolve(command: Command) -> NodeSettings | SettingError:
    flags = {setting.name: command.option(setting.name) for setting in SCHEMA}
    return load_settings(flags, os.environ)


def _open_tls(settings: NodeSettings) -> TlsContexts | TlsProblem | None:
    if not settings["tls-cert"]:
        return None
    return open_contexts(settings["tls-cert"], settings["tls-key"], settings["tls-authority"])


class NodeCommand(Command):
    """Runs one node until SIGTERM asks it to stop gracefully."""

    name = "node"
    description = "Run one node until SIGTERM; every flag has a MONSOONFLOW_* variable."
    options: ClassVar[list[Option]] = _options()

    def handle(self) -> int:
        """Check the settings and run the daemon."""
        settings = _resolve(self)
        if isinstance(settings, SettingError):
            print(settings.line(), file=sys.stderr)
            return EXIT_USAGE
        logfmt.configure(settings["log-level"])
        from ..node.daemon import Daemon

        tls = _open_tls(settings)
        if isinstance(tls, TlsProblem):
            print(SettingError("tls-cert", tls.reason).line(), file=sys.stderr)
            return EXIT_USAGE
        return Daemon(settings, tls).run()


class SettingsCommand(Command):
    """Shows each setting's value, unit, origin and meaning."""

    name = "settings"
    description = "Show each setting's value, unit, origin and meaning, as a node would see it."
    options: ClassVar[list[Option]] = [*_options(), option("json", None, "Print JSON.", flag=True)]

    def handle(self) -> int:
        """Print the settings."""
        settings = _resolve(self)
        if isinstance(settings, SettingError):
            print(settings.line(), file=sys.stderr)
            return EXIT_USAGE
        rows = [
            {
                "setting": name,
                "variable": env_name(name),
                "value": value.shown(),
                "unit": value.setting.unit,
                "origin": value.origin,
                "meaning": value.setting.meaning,
            }
            for name, value in settings.values.items()
        ]
        if self.option("json"):
            print(orjson.dumps(rows, option=orjson.OPT_INDENT_2).decode())
            return 0
        for row in rows:
            shown = f"{row['value']} {row['unit']}".strip()
            print(f"--{row['setting']:<22} {shown:<28} {row['origin']:<12} {row['meaning']}")
        return 0
