"""Tests and fuzzes the settings of a node."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from monsoonflow.helpers.settings import SettingError
from monsoonflow.node.settings import SCHEMA, NodeSettings, load_settings

GOOD = {
    "node": "n1",
    "data-centre": "dc-1",
    "http": "127.0.0.1:8100",
    "rpc": "127.0.0.1:8101",
    "table": "http://127.0.0.1:8500",
    "objects": "http://127.0.0.1:8501",
    "vms": "http://127.0.0.1:8502",
    "loads-per-second": "3",
    "operator-token": "o" * 16,
    "node-token": "n" * 16,
}


def test_good_settings_load():
    assert isinstance(load_settings(GOOD, {}), NodeSettings)


@pytest.mark.parametrize("name", sorted(GOOD))
def test_missing_setting_is_named(name):
    error = load_settings({**GOOD, name: None}, {})
    assert isinstance(error, SettingError)
    assert error.setting == name


@pytest.mark.parametrize(
    ("changed", "named"),
    [
        ({"lease-ms": "abc"}, "lease-ms"),
        ({"lease-ms": "10"}, "lease-ms"),
        ({"lease-margin-ms": "3000"}, "lease-margin-ms"),
        ({"poll-ms": "4000"}, "poll-ms"),
        ({"http": "localhost:80"}, "http"),
        ({"http": "127.0.0.999:80"}, "http"),
        ({"rpc": "127.0.0.1:8100"}, "rpc"),
        ({"tls-cert": "cert.pem"}, "tls-key"),
        ({"loads-per-second": "0"}, "loads-per-second"),
    ],
)
def test_wrong_or_contradictory_setting_is_named(changed, named):
    error = load_settings({**GOOD, **changed}, {})
    assert isinstance(error, SettingError)
    assert error.setting == named


def test_misspelt_variable_is_an_error():
    error = load_settings(GOOD, {"MONSOONFLOW_LEASE_MSEC": "5000"})
    assert isinstance(error, SettingError)


def test_flag_goes_before_variable():
    settings = load_settings({**GOOD, "lease-ms": "6000"}, {"MONSOONFLOW_LEASE_MS": "7000"})
    assert settings["lease-ms"] == 6000
    assert settings.values["lease-ms"].origin == "flag"


@given(st.sampled_from([setting.name for setting in SCHEMA]), st.text(max_size=30))
def test_any_text_is_taken_or_refused(name, text):
    assert isinstance(load_settings({**GOOD, name: text}, {}), NodeSettings | SettingError)


def test_secrets_are_not_shown():
    settings = load_settings(GOOD, {})
    assert settings.values["node-token"].shown() == "(withheld)"
    error = load_settings({**GOOD, "node-token": "short"}, {})
    assert "short" not in error.line()


def test_wrong_setting_ends_the_command_with_one_line_and_exit_code_2():
    done = subprocess.run(
        [sys.executable, "-m", "monsoonflow.cli.main", "node", "--lease-ms", "never"],
        env={"PATH": os.environ["PATH"]},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2
    assert len(done.stderr.strip().splitlines()) == 1
    assert "--node" in done.stderr or "--lease-ms" in done.stderr
