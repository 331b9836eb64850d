import pathlib

import pytest

from buckthornstage import errors
from buckthornstage.demo import deployment
from buckthornstage.document import schema, validation
from buckthornstage.settings import node_settings

DEPLOYMENTS = pathlib.Path(__file__).parent.parent / "deployments"
SIZES = {
    "lanyu": (500, {"rounds-desk": 8, "salon-library": 4}),
    "guarumo": (1000, {"order-desk": 7, "artwork-library": 3}),
}


@pytest.mark.parametrize("name", SIZES)
def test_deployment_is_valid_and_has_the_sizes_of_the_design(name, tmp_path):
    prepared = deployment.prepare(DEPLOYMENTS / name, tmp_path)
    interval_ms, targets = SIZES[name]
    counts = dict.fromkeys(targets, 0)
    for plan in prepared.nodes:
        counts[plan.service] += 1
        settings = node_settings.load(plan.settings_path)
        assert settings.gossip_interval_ms == interval_ms
        assert settings.zone == plan.zone
    assert counts == targets
    bodies = {
        section: schema.decode_section(section, prepared.section_body(section))
        for section in schema.SectionName
    }
    assert list(validation.document_problems(bodies)) == []
    for service in bodies[schema.SectionName.BACKENDS].services:
        assert service.slots == prepared.topology.services[service.name].slots
        assert service.connections == prepared.topology.services[service.name].connections


@pytest.mark.parametrize("name", SIZES)
def test_addresses_of_a_run_are_distinct(name, tmp_path):
    prepared = deployment.prepare(DEPLOYMENTS / name, tmp_path)
    fields = ("call_address", "admin_address", "control_address", "backend_address")
    addresses = [getattr(plan, field) for plan in prepared.nodes for field in fields]
    assert len({prepared.log_address, *addresses}) == 1 + len(addresses)


def test_topology_with_an_undeclared_service_names_file_and_zone(tmp_path):
    text = (DEPLOYMENTS / "lanyu" / "topology.yaml").read_text()
    (tmp_path / "topology.yaml").write_text(text.replace("hsinchu: {rounds-desk", "hsinchu: {spa"))
    with pytest.raises(errors.SettingsError, match="topology.yaml: zone hsinchu names spa"):
        deployment.load_topology(tmp_path)
