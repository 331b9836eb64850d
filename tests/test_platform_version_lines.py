"""What the log says of a node that does not have the newest version: which hypothesis holds."""

import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.mesh import store, versions

CONFIG = ("keyed.op", "config")
UNREADABLE = platform_mesh.operator_record(2, [platform_mesh.path_of("/a/", "safe", "unknown")])


async def refusal(mesh, node):
    """The log line of a call to a path that the node has no route for."""
    assert (await platform_mesh.call(node, "/added/x")).status == 404
    return mesh.events("refused")[-1]


async def two_nodes(nursery, tmp_path):
    mesh = platform_mesh.Mesh(nursery, tmp_path)
    await mesh.start_store()
    nodes = [await mesh.start_node(name) for name in ("n1", "n2")]
    await platform_mesh.until(lambda: all(node.is_ready for node in nodes))
    await platform_mesh.until(lambda: all(node.peers.is_store_reader for node in nodes))
    return mesh, nodes


# Guards against a 404 of which the log does not say whether the store was heard, whether the
# version is old, and whether a peer has a newer one.
def test_a_refusal_without_a_route_names_the_age_of_version_and_store(tmp_path):
    async def main(nursery):
        mesh, (node, _) = await two_nodes(nursery, tmp_path)
        line = await refusal(mesh, node)
        assert line["announced"] <= 1
        assert 0 <= line["store_heard_ms_ago"] <= line["version_age_ms"] + 1_000
        await trio.sleep(0.5)
        later = await refusal(mesh, node)
        assert later["version_age_ms"] >= line["version_age_ms"] + 500
        assert later["store_heard_ms_ago"] >= line["store_heard_ms_ago"] + 500

    loopback.run(main)


@pytest.mark.parametrize(
    ("payload", "event"),
    [(UNREADABLE, "record_skipped"), (platform_mesh.operator_record(1), "not_newer")],
    ids=["unreadable", "same_version"],
)
def test_a_record_that_is_read_and_not_taken_has_two_lines(payload, event, tmp_path):
    # Guards against a version that is read and dropped without a trace.
    async def main(nursery):
        mesh, (node, _) = await two_nodes(nursery, tmp_path)
        before, known = len(mesh.events("records_read")), len(mesh.events(event))
        mesh.store.put(*CONFIG, payload)
        await platform_mesh.until(lambda: len(mesh.events(event)) > known)
        read = mesh.events("records_read")[before:]
        assert {(line["topic"], line["position"], line["next_position"]) for line in read} == {
            ("configurations", 1, 2)
        }
        line = await refusal(mesh, node)
        assert line["store_heard_ms_ago"] < 2_000

    loopback.run(main)


def test_a_peer_that_announces_a_version_and_sends_none_is_named(tmp_path):
    # Guards against a copy without content that leaves no line.
    async def main(nursery):
        mesh, (node, peer) = await two_nodes(nursery, tmp_path)
        peer.versions.copy_rate.take = peer.versions.delta_rate.take = lambda now_ms: False
        mesh.store.faults.is_silent = True
        record = store.KeyedRecord("config", platform_mesh.operator_record(2))
        peer.versions.activate(node.adapter.configuration_of(record), versions.STORE)
        await platform_mesh.until(lambda: mesh.events("copy_empty"))
        assert mesh.events("copy_empty")[0]["peer"] == peer.settings.link_address
        line = await refusal(mesh, node)
        assert (line["announced"], line["detail"]) == (2, "version 1")

    loopback.run(main)
