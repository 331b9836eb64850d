"""Settings and sections of a document with odd values.

Guards against a node that ends when its settings file is read again.
"""

import pathlib

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from buckthornstage import errors, strict_yaml
from buckthornstage.mesh import settings
from buckthornstage.settings import node_settings


class Document(msgspec.Struct):
    """What the texts are read into."""

    a: float


ODD_TEXTS = (
    "a: !!timestamp foo",
    "a: !!float ''",
    "a: !!int ''",
    "a: !!bool foo",
    'a: "\\ud800"',
    '"\\ud800": 1',
    "a: " + "1" * 5_000,
    "a: 1" + "0" * 400,
    "a: " + "[" * 5_000,
    "{a: " * 5_000,
    "- " * 5_000,
    "a: 2020-13-45",
    "a: 2020-01-01 00:00:00 +99:99",
    "a: !!binary '='",
    "a: !!python/name:os.system x",
    "\0",
)


@pytest.mark.parametrize("text", ODD_TEXTS, ids=lambda text: text[:16])
def test_an_odd_text_gives_one_kind_of_error(text):
    """Guards against errors of the YAML reader that nobody catches."""
    with pytest.raises(strict_yaml.StrictYamlError):
        strict_yaml.load(text, Document)


@hypothesis.given(
    st.sampled_from(["int", "float", "bool", "timestamp", "null", "binary", "str", "set", "omap"]),
    st.text(max_size=12),
)
def test_any_value_with_a_tag_is_read_or_gives_one_kind_of_error(tag, text):
    """The same for any value of a named type."""
    try:
        strict_yaml.load(f"a: !!{tag} {text}", Document)
    except strict_yaml.StrictYamlError:
        return


@pytest.mark.parametrize(
    "address", ["10.0.0.1:" + "9" * 5_000, "10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:-1", "a:1"]
)
def test_an_odd_address_is_no_address(address):
    """Guards against ValueError for a port of more digits than Python converts."""
    assert not node_settings.is_address(address)


@pytest.mark.parametrize("text", ["a: " + "1" * 5_000, "\xff", "a: !!int ''"])
def test_an_odd_settings_file_is_a_settings_error(text, tmp_path):
    """Guards against a node that ends at a reload instead of keeping its settings."""
    path = tmp_path / "node.yaml"
    path.write_bytes(text.encode("latin-1"))
    with pytest.raises(errors.SettingsError):
        node_settings.load_file(path, Document)


FILE = """
node: n1
zone: z1
service: desk
target_address: 127.0.0.1:1
call_address: 127.0.0.1:2
ready_address: 127.0.0.1:3
announce_address: 127.0.0.1:4
link_address: 127.0.0.1:5
store_address: 127.0.0.1:6
heartbeat_s: 1
grace_s: 6
retry_ratio: 0.2
retry_slack: 56
"""


def test_optional_settings_come_from_their_tables(tmp_path):
    """Guards against a deployment whose tables lack a value, and against other entries of them."""
    path = tmp_path / "node.yaml"
    path.write_text(FILE + 'process_limits: {"memory_mb": 1}\nfleet_bounds: {"grace_s": 1}\n')
    found = settings.load(path)
    assert (found.max_fds, found.memory_mb, found.grace_s, found.quota_slack) == (0, 0, 6, 20)
    tables = (
        'process_limits: {"max_fds": 99}\nfleet_bounds: {"quota_slack": 3, "exposure_share": 0.2}\n'
    )
    path.write_text(FILE + tables)
    found = settings.load(path)
    assert (found.max_fds, found.quota_slack, found.exposure_share) == (99, 3, 0.2)
    path.write_text(FILE + 'fleet_bounds: {"quota_slack": -1}\n')
    with pytest.raises(errors.SettingsError):
        settings.load(path)


def test_the_template_needs_values_only():
    """Guards against sections in the template: the cases of `review/` fill in values only."""
    template = pathlib.Path(__file__).parents[1] / "deploy" / "node.yaml.template"
    assert "{{#" not in template.read_text() and "{{^" not in template.read_text()
