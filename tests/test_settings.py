"""Tests of the settings of a node."""

import contextlib
import socket
import subprocess
import sys

import pytest
import yaml

from buckthornstage import errors
from buckthornstage.node import main
from buckthornstage.settings import node_settings

VALID = {
    "node": "a1",
    "zone": "a",
    "region": "r",
    "call_address": "127.0.0.1:7001",
    "admin_address": "127.0.0.1:7002",
    "control_address": "127.0.0.1:7003",
    "log_url": "http://127.0.0.1:7400",
    "mesh_secret": "s" * 32,
    "root_public_key": "key",
}


def load(tmp_path, text):
    path = tmp_path / "node.yaml"
    path.write_text(text, encoding="utf-8")
    return node_settings.load(path)


def test_valid_settings_get_the_documented_defaults(tmp_path):
    """Guards against defaults that differ from the documented ones."""
    settings = load(tmp_path, yaml.safe_dump(VALID))
    assert (settings.gossip_interval_ms, settings.push_fanout) == (500, 4)
    assert (settings.probe_interval_ms, settings.probe_timeout_ms) == (1_000, 500)
    assert (settings.suspect_ms, settings.drain_ms) == (3_000, 20_000)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ("node: A!", "node"),
        ("gossip_intervall_ms: 5", "gossip_intervall_ms"),
        ("gossip_interval_ms: fast", "gossip_interval_ms"),
        ("gossip_interval_ms: 1", "gossip_interval_ms"),
        ("call_address: example.org:80", "call_address"),
        ("call_address: 127.0.0.1:0", "call_address"),
        ("log_url: ftp://127.0.0.1:1", "log_url"),
        ("mesh_secret: short", "mesh_secret"),
        ("seeds: [127.0.0.1]", "seeds"),
        ("seeds: &a [x]", "anchors"),
        ("zone: [", "expected"),
    ],
)
def test_each_mistake_names_the_file_and_the_setting(tmp_path, change, expected):
    """Guards against a daemon that starts with invalid or unknown settings."""
    key = change.partition(":")[0]
    rest = {name: value for name, value in VALID.items() if name != key}
    with pytest.raises(errors.SettingsError) as caught:
        load(tmp_path, f"{change}\n{yaml.safe_dump(rest)}")
    assert "node.yaml" in str(caught.value)
    assert expected in str(caught.value)


def test_a_mistake_names_its_line(tmp_path):
    """Guards against an error without the line, for which the operator must search the file."""
    text = yaml.safe_dump(VALID, sort_keys=False) + "push_fanout: many\n"
    with pytest.raises(errors.SettingsError, match=r"node\.yaml:10: .*push_fanout"):
        load(tmp_path, text)


def test_daemon_ends_with_status_2_for_bad_settings(tmp_path):
    """Guards against a stack trace, or a start, when the settings file cannot be read."""
    path = tmp_path / "missing.yaml"
    command = [sys.executable, "-m", "buckthornstage.node.main", f"--settings={path}"]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    assert ended.returncode == main.EXIT_BAD_SETTINGS
    assert "missing.yaml: cannot be read" in ended.stderr
    assert "Traceback" not in ended.stderr


@pytest.mark.parametrize("name", ["call_address", "control_address"])
def test_daemon_says_so_when_an_address_is_taken(tmp_path, name):
    """Guards against a stack trace when another process holds the port."""
    with contextlib.ExitStack() as stack:
        held = [stack.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(3)]
        ports = dict(
            zip(
                ("call_address", "admin_address", "control_address"),
                (f"127.0.0.1:{taken.getsockname()[1]}" for taken in held),
                strict=True,
            )
        )
        for other, taken in zip(ports, held, strict=True):
            if other != name:
                taken.close()
        path = tmp_path / "node.yaml"
        path.write_text(yaml.safe_dump({**VALID, **ports}), encoding="utf-8")
        command = [sys.executable, "-m", "buckthornstage.node.main", f"--settings={path}"]
        ended = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    assert ended.returncode == main.EXIT_NO_ADDRESS, ended.stderr
    assert "cannot listen" in ended.stderr
    assert "Traceback" not in ended.stderr
