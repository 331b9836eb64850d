"""Each field of configuration and settings has a user."""

import ast
import collections
import pathlib

import pytest

from buckthornstage.document import schema
from buckthornstage.mesh import settings as mesh_settings
from buckthornstage.routing import routes
from buckthornstage.settings import node_settings

SOURCE = pathlib.Path(schema.__file__).parents[1]
HELPERS = {"standins", "soak", "bench", "demo"}
"""Packages that only run the product."""
TRANSLATORS = {"platform/operator_config.py"}
CONFIGURATION = [routes.Share, routes.Route, routes.Tenant, routes.CallLimits, routes.Service]
SETTINGS = [mesh_settings.MeshSettings, node_settings.NodeSettings]
DOCUMENT = [schema.Route, schema.BackendService, schema.ServiceLimits]


def _reads():
    """Modules that read an attribute from an object other than `self`, by its name."""
    found = collections.defaultdict(set)
    for path in SOURCE.rglob("*.py"):
        name = path.relative_to(SOURCE)
        if name.parts[0] in HELPERS or str(name) in TRANSLATORS:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            is_read = isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Load)
            if is_read and not _is_own_state(node, str(name)):
                found[node.attr].add(str(name))
    return found


def _is_own_state(node, module):
    """Whether an attribute is read from `self` in a module without settings: another field."""
    is_self = isinstance(node.value, ast.Name) and node.value.id == "self"
    return is_self and module not in {"mesh/settings.py", "routing/routes.py"}


@pytest.mark.parametrize("struct", [*CONFIGURATION, *SETTINGS, *DOCUMENT])
def test_each_field_is_used_outside_the_decoder(struct):
    # Guards against a setting that is decoded, checked and not applied (DENIED, issue 35).
    reads = _reads()
    assert [name for name in struct.__struct_fields__ if not reads[name]] == []


def test_the_check_finds_a_field_without_a_user():
    # Guards against a check that passes for any name.
    assert not _reads()["field_that_nothing_reads"]
