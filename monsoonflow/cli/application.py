"""Assembles the commands."""

from __future__ import annotations

from cleo.application import Application

from .. import __version__
from .node import NodeCommand, SettingsCommand
from .operate import (
    AddressCommand,
    ExplainCommand,
    IntentCommand,
    PlanConfirmCommand,
    PlanShowCommand,
    StatusCommand,
)
from .report import ReportBurnCommand


def build() -> Application:
    """Return the command-line application."""
    application = Application("monsoonflow", __version__)
    for command in (
        NodeCommand(),
        SettingsCommand(),
        AddressCommand(),
        StatusCommand(),
        IntentCommand(),
        PlanShowCommand(),
        PlanConfirmCommand(),
        ExplainCommand(),
        ReportBurnCommand(),
    ):
        application.add(command)
    return application
