"""Quotas of tenants at a few real nodes: refusals, tokens given back, and new limits."""

import msgspec
import trio

import loopback
import platform_mesh
from buckthornstage.link import quota_frames

KEY = "k-1"


def tenant(rate, burst):
    """The tenant in the operator's format; 0 is no limit."""
    return {"name": "t1", "api_keys": [KEY], "rate_per_s": rate, "burst": burst}


def record(version, rate, burst):
    """Encoded configuration record with one tenant."""
    document = msgspec.json.decode(platform_mesh.operator_record(version))
    return msgspec.json.encode({**document, "tenants": [tenant(rate, burst)]})


def on_nodes(rate, burst, test, tmp_path, script=platform_mesh.response, zones=("z1", "z1", "z2")):
    """Runs `test(mesh, nodes, target)` with the target beside the first node."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        mesh.store.put("keyed.op", "config", record(1, rate, burst))
        await mesh.start_store(version=0)
        target = platform_mesh.Target(script)
        nodes = [await mesh.start_node("n1", target, zones[0])]
        for number, zone in enumerate(zones[1:], 2):
            nodes.append(await mesh.start_node(f"n{number}", zone=zone, service="frontend"))
        await platform_mesh.until_active(nodes, 1)
        await platform_mesh.until(
            lambda: all(len(node.directory.peers) == len(zones) - 1 for node in nodes)
        )
        await platform_mesh.until(
            lambda: all(any(p.is_open for p in n.directory.peers.values()) for n in nodes[1:])
        )
        await test(mesh, nodes, target)

    loopback.run(main)


async def call(node, number=1):
    """One request of the tenant."""
    path = f"/read/{number}"
    return await platform_mesh.call(node, path, authorization=f"Token {KEY}")


def statuses(responses):
    return [response.status for response in responses]


async def many(nodes, count, gap_s):
    """Responses to requests at the nodes in turn."""
    responses = []
    for number in range(count):
        responses.append(await call(nodes[number % len(nodes)], number))
        await trio.sleep(gap_s)
    return responses


def test_requests_beyond_the_quota_are_refused_wherever_they_arrive(tmp_path):
    """Guards against a limit that each node applies by itself, and refused calls that ran."""

    async def test(mesh, nodes, target):
        responses = await many(nodes, 120, 0.001)
        served = statuses(responses).count(200)
        assert set(statuses(responses)) == {200, 429}
        assert len(target.arrivals) == served <= (2 * 5 + 2) * 1.1 + 20
        refused = next(response for response in responses if response.status == 429)
        assert 0.02 <= float(refused.header(b"retry-after")) <= 1.0
        assert mesh.events("lender")

    on_nodes(2, 2, test, tmp_path)


def test_a_tenant_below_its_limit_is_served(tmp_path):
    """Guards against a small quota that is split into parts of less than one request."""

    async def test(mesh, nodes, target):
        assert statuses(await many(nodes, 20, 0.25)) == [200] * 20

    on_nodes(5, 5, test, tmp_path)


def test_a_call_that_has_not_run_is_not_charged(tmp_path):
    """Guards against refusals by full or leaving targets that use up a tenant's quota."""

    async def test(mesh, nodes, target):
        response = await call(nodes[0])
        assert response.status == 503
        before = nodes[0].metrics.counters["tenant_returned", "t1"]
        assert statuses(await many(nodes[:1], 60, 0.001)) == [503] * 60
        assert nodes[0].metrics.counters["tenant_returned", "t1"] == before + 60

    def refuse(arrival):
        return platform_mesh.response(arrival, status=503, Not_Executed="1", Response_Seal=None)

    on_nodes(1, 1, test, tmp_path, refuse)


def test_without_limits_no_datagram_of_quotas_is_sent(tmp_path):
    """Guards against traffic in deployments whose tenants have no rate."""

    async def test(mesh, nodes, target):
        assert statuses(await many(nodes, 30, 0.01)) == [200] * 30
        assert not any(name == "quota_messages" for n in nodes for name, _ in n.metrics.counters)

    on_nodes(0, 0, test, tmp_path)


def test_a_lowered_limit_takes_effect(tmp_path):
    """Guards against leases and buckets of the limit before."""

    async def test(mesh, nodes, target):
        assert statuses(await many(nodes, 100, 0.001)) == [200] * 100
        mesh.store.put("keyed.op", "config", record(2, 1, 1))
        await platform_mesh.until_active(nodes, 2)
        await trio.sleep(0.5)
        served = statuses(await many(nodes, 300, 0.001)).count(200)
        assert served <= (1 * 5 + 1) * 1.1 + 20

    on_nodes(1_000, 1_000, test, tmp_path)


def test_the_death_of_a_lender_refuses_few_requests(tmp_path):
    """Guards against a tenant that depends on one node."""

    async def test(mesh, nodes, target):
        assert statuses(await many(nodes[1:], 20, 0.01)) == [200] * 20
        by_address = {node.settings.link_address: node for node in nodes}
        lease = nodes[1].egress.quotas.node.leases["t1"]
        lender = by_address[lease.lender]
        lender.peers.send_datagram = lambda address, payload: None
        lender.peers.on_quota_message = lambda payload, sender_ip: None
        others = [node for node in nodes[1:] if node is not lender]
        responses = await many(others, 50, 0.02)
        assert statuses(responses).count(200) >= 45

    on_nodes(100, 100, test, tmp_path, zones=("z1", "z1", "z1", "z1"))


def test_bytes_that_are_no_message_of_quotas_are_logged():
    """Guards against a beacon that is taken for a message of quotas, and the other way round."""
    grant = quota_frames.Grant(1, 2, 3)
    encoded = quota_frames.encode(grant)
    assert quota_frames.is_quota_message(encoded) and quota_frames.decode(encoded) == grant
    long_beacon = msgspec.msgpack.encode([["node"], *range(20)])
    beacon = msgspec.msgpack.encode([["node"], *range(5)])
    assert not any(map(quota_frames.is_quota_message, (long_beacon, beacon, b"", b"\x91")))
