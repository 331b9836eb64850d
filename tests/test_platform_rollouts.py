"""Roll-outs of a new version at nodes on loopback, with a store: order, exposure and verdict."""

import msgspec
import pytest
import trio

import loopback
import platform_mesh
from buckthornstage import errors
from buckthornstage.mesh import route_explanation, store
from buckthornstage.platform import rollout_records, store_client
from buckthornstage.rollouts import orders

STATUS_KEY = "rollout/desk"
ORDER_RECORD = {"service": "desk", "to_version": "v2", "period_s": 3.0}
ORDER = orders.Order("desk", "v2", 3_000, (1, 5))


class VersionedTarget(platform_mesh.Target):
    """Target that announces a version; `status` is that of its responses."""

    def __init__(self, version, status=200):
        super().__init__(lambda arrival: platform_mesh.response(arrival, status=status))
        self.version = version

    def heartbeat(self, service=platform_mesh.DESK, **changes):
        info = {"service": service, "version": self.version, "zone": "z1", "slots": 8}
        return super().heartbeat(service, **{"info": info, **changes})


def order(mesh, **changes):
    """Writes the operator's order of a roll-out."""
    record = msgspec.json.encode({**ORDER_RECORD, **changes})
    mesh.store.put("keyed.op", "rollout/desk", record)


def stored_state(mesh):
    """State of the roll-out that the system has written, or None."""
    found = mesh.store.partition("keyed.status").newest.get(STATUS_KEY)
    return None if found is None else msgspec.json.decode(found[1])["state"]


async def start_fleet(mesh, new_status=200):
    """Two nodes with the old version; then the order, and two nodes with the new one."""
    await mesh.start_store()
    old = [VersionedTarget("v1") for _ in range(2)]
    new = [VersionedTarget("v2", new_status) for _ in range(2)]
    usual = {"heartbeat_s": 60.0}
    nodes = [await mesh.start_node(f"old-{i}", target, **usual) for i, target in enumerate(old)]
    await platform_mesh.until(lambda: all(node.is_ready for node in nodes))
    order(mesh)
    await platform_mesh.until(lambda: all(node.rollouts.known.by_service for node in nodes))
    nodes += [await mesh.start_node(f"new-{i}", target, **usual) for i, target in enumerate(new)]
    await platform_mesh.until(lambda: all(node.is_ready for node in nodes))
    await platform_mesh.until(lambda: all(knows_all(node) for node in nodes))
    return nodes, old, new


def knows_all(node):
    return len(node.directory.peers) == 3 and node.rollouts.known.by_service


async def call_until(mesh, nodes, state):
    """Calls all nodes in turn until the store tells a state; returns the number of calls."""
    sent = 0
    with trio.fail_after(12):
        while stored_state(mesh) != state:
            for node in nodes:
                await platform_mesh.handle(node, f"/read/{sent}")
                sent += 1
            await trio.sleep(0.01)
    return sent


def arrivals(targets):
    return sum(len(target.arrivals) for target in targets)


def test_a_good_version_gets_few_calls_until_it_is_completed_and_then_all(tmp_path):
    """Guards against a new version that is exposed before its verdict, or not used after it."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        nodes, old, new = await start_fleet(mesh)
        sent = await call_until(mesh, nodes, "completed")
        assert 0 < arrivals(new) <= 0.1 * sent + 50
        shown = await nodes[0]._metrics(platform_mesh.request("/metrics"))
        assert b'rollout_state{service="desk"} ' in shown.body
        await platform_mesh.until(
            lambda: all(
                node.rollouts.known.by_service["desk"].state is orders.State.COMPLETED
                for node in nodes
            )
        )
        before = arrivals(old)
        for node in nodes:
            await platform_mesh.handle(node, "/read/after")
        assert arrivals(old) == before

    loopback.run(main)


def test_a_bad_version_is_rolled_back_and_gets_nothing_more(tmp_path):
    """Guards against a bad version that stays exposed after the verdict (EXPOSURE)."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        nodes, _, new = await start_fleet(mesh, new_status=500)
        sent = await call_until(mesh, nodes, "rolled_back")
        assert arrivals(new) <= 0.1 * sent + 50
        await platform_mesh.until(
            lambda: all(
                node.rollouts.known.by_service["desk"].state is orders.State.ROLLED_BACK
                for node in nodes
            )
        )
        before = arrivals(new)
        for number in range(40):
            await platform_mesh.handle(nodes[number % 4], "/read/after")
        assert arrivals(new) == before

    loopback.run(main)


def test_a_bad_version_gets_nothing_more_while_the_store_is_away(tmp_path):
    """Guards against exposure that goes on because the verdict cannot be written."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        nodes, _, new = await start_fleet(mesh, new_status=500)
        await platform_mesh.until(lambda: stored_state(mesh) == "running")
        mesh.store.faults.outage_status = 503
        with trio.move_on_after(2.5):
            await call_until(mesh, nodes, "rolled_back")
        before = arrivals(new)
        for number in range(40):
            await platform_mesh.handle(nodes[number % 4], "/read/after")
        assert arrivals(new) == before
        mesh.store.faults.outage_status = None
        await call_until(mesh, nodes, "rolled_back")

    loopback.run(main)


def test_an_explanation_leaves_out_a_version_that_most_calls_do_not_reach(tmp_path):
    """Guards against an explanation that names the target of a version in its roll-out."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        nodes, _, new = await start_fleet(mesh)
        found = route_explanation.explain(nodes[2].egress, "host=shop.example&path=/read/1")
        service = found["services"]["desk"]
        usable = {item["ingress"] for item in service["candidates"] if item["is_fresh"]}
        assert usable <= {node.settings.link_address for node in nodes[:2]}
        assert service["to"] in usable
        assert service["rollout"]["state"] == "running"
        assert arrivals(new) == 0

    loopback.run(main)


def test_without_an_order_nothing_is_told_or_written(tmp_path):
    """Guards against store calls and longer datagrams for deployments without roll-outs."""

    async def test(mesh, node, target):
        await platform_mesh.handle(node, "/read/1")
        await trio.sleep(0.7)
        assert mesh.store.calls_by_topic["keyed.status"] == 0
        assert (node.ingress.state().version, node.peers.rollout_notices()) == ("", ())

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)


def on_store(test):
    """Runs `test(client, store)` with a stand-in of the store."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, "/tmp")
        await mesh.start_store(version=0)
        await test(store_client.StoreClient(mesh.store_address), mesh.store)

    loopback.run(main)


def test_of_two_judges_the_first_verdict_counts():
    """Guards against two judges that disagree to the end."""

    async def test(client, stand_in):
        other = store_client.StoreClient(client.address)
        found = []

        async def write(writer, state):
            found.append(await rollout_records.decide(writer, ORDER, state))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(write, client, orders.State.COMPLETED)
            nursery.start_soon(write, other, orders.State.ROLLED_BACK)
        assert len(set(found)) == 1
        late = await rollout_records.decide(client, ORDER, orders.State.RUNNING)
        assert late is found[0]

    on_store(test)


def test_a_lost_response_to_a_verdict_is_looked_up():
    """Guards against a verdict that is taken for not written, and then for another one."""

    async def test(client, stand_in):
        stand_in.faults.lose_answers = 1
        held = await rollout_records.decide(client, ORDER, orders.State.ROLLED_BACK)
        assert held is orders.State.ROLLED_BACK
        assert len(stand_in.partition("keyed.status").records) == 2

    on_store(test)


def test_the_verdict_of_an_earlier_order_does_not_replace_that_of_a_later_one():
    """Guards against a judge that wakes late and ends a roll-out that was ordered meanwhile."""

    async def test(client, stand_in):
        later = orders.Order("desk", "v3", 3_000, (1, 6))
        await rollout_records.decide(client, later, orders.State.RUNNING)
        assert await rollout_records.decide(client, ORDER, orders.State.COMPLETED) is None

    on_store(test)


def test_a_verdict_holds_for_its_order_after_the_store_was_restored():
    """Guards against a version that was rolled back and is exposed again with a new era."""

    async def test(client, stand_in):
        await rollout_records.decide(client, ORDER, orders.State.ROLLED_BACK)
        again = orders.Order("desk", "v2", 3_000, (2, 5))
        held = await rollout_records.decide(client, again, orders.State.RUNNING)
        assert held is orders.State.ROLLED_BACK
        new = orders.Order("desk", "v2", 3_000, (2, 9))
        held = await rollout_records.decide(client, new, orders.State.RUNNING)
        assert held is orders.State.RUNNING

    on_store(test)


@pytest.mark.parametrize(
    "value",
    [
        b"{",
        b"[" * 10_000,
        b'{"service":"other","to_version":"v2","period_s":3}',
        b'{"service":"desk","to_version":"","period_s":3}',
        b'{"service":"desk","to_version":"v2","period_s":-1}',
        b'{"service":"desk","to_version":"v2","period_s":1e300}',
        b'{"service":"desk"}',
    ],
    ids=lambda value: value[:60].decode(),
)
def test_an_odd_order_is_refused(value):
    """Guards against followers that end at an entry of another writer."""
    with pytest.raises(errors.DocumentError):
        rollout_records.order_of(store.KeyedRecord(STATUS_KEY, value), 1)
    assert rollout_records.order_of(store.KeyedRecord("config", value), 1) is None
