"""Settings and sections of a document with odd values.

Guards against a node that ends when its settings file is read again.
"""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from buckthornstage import errors, strict_yaml
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
