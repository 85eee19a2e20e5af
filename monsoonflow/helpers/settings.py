"""Checks settings from flags and environment variables against a schema."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final

import attrs

ENV_PREFIX: Final = "MONSOONFLOW_"
ADDRESS_PATTERN: Final = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})")
URL_PATTERN: Final = re.compile(r"https?://[^\s/]+(/\S*)?")


@dataclass(frozen=True, slots=True)
class SettingError:
    """Names a wrong setting and what it may be, in one line."""

    setting: str
    problem: str

    def line(self) -> str:
        """Return the message for the operator."""
        return f"setting --{self.setting} ({env_name(self.setting)}): {self.problem}"


@attrs.frozen(slots=True)
class Setting:
    """Describes one setting.

    :param parse: returns the value, or ``None`` when the text is wrong.
    :param allowed: the allowed values, in words.
    :param default: as text; ``None`` means that it must be given.
    """

    name: str
    parse: Callable[[str], Any]
    allowed: str
    meaning: str
    default: str | None = None
    unit: str = ""
    secret: bool = False


@attrs.frozen(slots=True)
class Value:
    """A setting's value and where it came from."""

    setting: Setting
    value: Any
    origin: str

    def shown(self) -> str:
        """Return the value for display; secrets are withheld."""
        if self.setting.secret:
            return "(withheld)" if self.value else "(none)"
        return str(self.value)


def env_name(setting: str) -> str:
    """Return the environment variable of a setting.

    >>> env_name("lease-ms")
    'MONSOONFLOW_LEASE_MS'
    """
    return ENV_PREFIX + setting.upper().replace("-", "_")


def whole(low: int, high: int) -> tuple[Callable[[str], int | None], str]:
    """Return a parser of whole numbers in a range, and the range in words."""

    def parse(text: str) -> int | None:
        if not re.fullmatch(r"-?\d{1,15}", text):
            return None
        number = int(text)
        return number if low <= number <= high else None

    return parse, f"a whole number from {low} to {high}"


def decimal(low: float, high: float) -> tuple[Callable[[str], float | None], str]:
    """Return a parser of numbers in a range, and the range in words."""

    def parse(text: str) -> float | None:
        if not re.fullmatch(r"\d{1,9}(\.\d{1,9})?", text):
            return None
        number = float(text)
        return number if low <= number <= high else None

    return parse, f"a number from {low:g} to {high:g}"


def pattern(expression: re.Pattern[str], words: str) -> tuple[Callable[[str], str | None], str]:
    """Return a parser of texts that match a pattern, and the pattern in words."""
    return (lambda text: text if expression.fullmatch(text) else None), words


def address() -> tuple[Callable[[str], str | None], str]:
    """Return a parser of ``IP:PORT``, and that in words."""

    def parse(text: str) -> str | None:
        match = ADDRESS_PATTERN.fullmatch(text)
        if match is None or not 0 < int(match.group(2)) <= 65_535:
            return None
        octets = match.group(1).split(".")
        if len(octets) == 4 and any(int(octet) > 255 for octet in octets):
            return None
        return text

    return parse, "an IP number and a port from 1 to 65535, as IP:PORT"


def one_of(*names: str) -> tuple[Callable[[str], str | None], str]:
    """Return a parser of a fixed choice, and the choice in words."""
    return (lambda text: text if text in names else None), "one of " + ", ".join(names)


def resolve(
    schema: list[Setting], flags: Mapping[str, str | None], environ: Mapping[str, str]
) -> dict[str, Value] | SettingError:
    """Return every setting's value; a flag goes before the environment.

    An unknown ``MONSOONFLOW_*`` variable is an error: a misspelt one would otherwise be ignored and
    the default be in force.
    """
    known = {env_name(setting.name) for setting in schema}
    for name in sorted(environ):
        if name.startswith(ENV_PREFIX) and name not in known:
            return SettingError(name.removeprefix(ENV_PREFIX).lower().replace("_", "-"), "unknown")
    values: dict[str, Value] = {}
    for setting in schema:
        text, origin = _source(setting, flags, environ)
        if text is None:
            return SettingError(setting.name, f"missing; must be {setting.allowed}")
        value = setting.parse(text)
        if value is None:
            shown = "its value" if setting.secret else repr(text)
            return SettingError(setting.name, f"{shown} is not {setting.allowed}")
        values[setting.name] = Value(setting, value, origin)
    return values


def _source(
    setting: Setting, flags: Mapping[str, str | None], environ: Mapping[str, str]
) -> tuple[str | None, str]:
    flag = flags.get(setting.name)
    if flag is not None:
        return flag, "flag"
    if env_name(setting.name) in environ:
        return environ[env_name(setting.name)], "environment"
    return setting.default, "default"
