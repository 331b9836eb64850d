"""Keys of tenants: who is let in, what a target learns, and when a new version counts."""

import dataclasses

import msgspec
import pytest

import loopback
import platform_mesh
from buckthornstage import errors
from buckthornstage.platform import operator_config

LARGE, SMALL = "large-account", "small-account"
KEY, OTHER_KEY, SMALL_KEY = "k-large-1", "k-large-2", "k-small-1"
PATHS = (*platform_mesh.PATHS, platform_mesh.path_of("/open/", "safe", auth_exempt=True))


def tenant(name, *keys, **changes):
    """One tenant in the operator's format."""
    return {"name": name, "api_keys": list(keys), "priority": 1, **changes}


TENANTS = (tenant(LARGE, KEY, OTHER_KEY), tenant(SMALL, SMALL_KEY))


def record(version, tenants=TENANTS):
    """Encoded configuration record with tenants."""
    document = msgspec.json.decode(platform_mesh.operator_record(version, PATHS))
    return msgspec.json.encode({**document, "tenants": list(tenants)})


def on_two_nodes(test, tmp_path):
    """Runs `test(mesh, caller, target)`: the target is beside another node than the callers'."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        mesh.store.put("keyed.op", "config", record(1))
        await mesh.start_store(version=0)
        target = platform_mesh.Target()
        caller = await mesh.start_node("n1", service="frontend")
        await mesh.start_node("n2", target)
        await platform_mesh.until(lambda: caller.is_ready)
        peers = caller.directory.peers
        await platform_mesh.until(lambda: any(peer.is_open for peer in peers.values()))
        await test(mesh, caller, target)

    loopback.run(main)


@pytest.mark.parametrize(
    "authorization",
    [None, "", "Token", "Token ", "Token wrong", "Basic k-large-1", "k-large-1", f"Token {KEY} x"],
)
def test_a_call_without_a_known_key_is_refused_and_reaches_no_target(authorization, tmp_path):
    """Guards against callers whom no version of the configuration lets in."""

    async def test(mesh, caller, target):
        headers = {} if authorization is None else {"authorization": authorization}
        response = await platform_mesh.call(caller, "/read/1", **headers)
        assert (response.status, target.arrivals) == (401, [])

    on_two_nodes(test, tmp_path)


def test_two_keys_in_one_request_are_refused(tmp_path):
    """Guards against a request that passes with one key and is charged to another."""

    async def test(mesh, caller, target):
        request = platform_mesh.request("/read/1", authorization=f"Token {KEY}")
        doubled = (*request.headers, (b"authorization", f"Token {SMALL_KEY}".encode()))
        response = await caller.egress.handle(dataclasses.replace(request, headers=doubled))
        assert (response.status, target.arrivals) == (401, [])

    on_two_nodes(test, tmp_path)


def test_a_target_learns_the_tenant_and_not_the_key(tmp_path):
    """Guards against a key that a target sees, and a tenant that the client has named."""

    async def test(mesh, caller, target):
        for key, name in ((KEY, LARGE), (OTHER_KEY, LARGE), (SMALL_KEY, SMALL)):
            response = await platform_mesh.call(
                caller, "/pay/1", "POST", authorization=f"token {key}", tenant="somebody-else"
            )
            assert response.status == 200
            received = target.arrivals[-1].headers
            assert (received["tenant"], "authorization" in received) == (name, False)

    on_two_nodes(test, tmp_path)


def test_an_exempt_route_needs_no_key(tmp_path):
    """Guards against nested calls of targets, which carry no key, being refused."""

    async def test(mesh, caller, target):
        for headers in ({}, {"authorization": "Token wrong"}, {"tenant": LARGE}):
            assert (await platform_mesh.call(caller, "/open/1", **headers)).status == 200
            received = target.arrivals[-1].headers
            assert not {"tenant", "authorization"} & set(received)
        other = {"authorization": "basic dtpw"}
        assert (await platform_mesh.call(caller, "/open/1", **other)).status == 200
        assert target.arrivals[-1].headers["authorization"] == "basic dtpw"
        known = {"authorization": f"Token {KEY}"}
        assert (await platform_mesh.call(caller, "/open/1", **known)).status == 200
        received = target.arrivals[-1].headers
        assert (received["tenant"], "authorization" in received) == (LARGE, False)

    on_two_nodes(test, tmp_path)


def test_a_missing_route_is_told_before_a_missing_key(tmp_path):
    """Guards against 401 for a path that no version serves."""

    async def test(mesh, caller, target):
        assert (await platform_mesh.call(caller, "/none/1")).status == 404

    on_two_nodes(test, tmp_path)


def test_without_a_configuration_no_key_is_called_unknown(tmp_path):
    """Guards against 401, which callers do not retry, from a node that knows no keys yet."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        node = await mesh.start_node("n1")
        response = await platform_mesh.call(node, "/read/1", authorization=f"Token {KEY}")
        assert response.status == 503

    loopback.run(main)


def test_a_new_version_takes_keys_away_and_adds_others(tmp_path):
    """Guards against a withdrawn key that stays in use, also on kept connections."""

    async def test(mesh, caller, target):
        assert (await call_with(caller, KEY)).status == 200
        assert (await call_with(caller, "k-new")).status == 401
        mesh.store.put("keyed.op", "config", record(2, [tenant(LARGE, "k-new"), tenant(SMALL)]))
        await platform_mesh.until_active(mesh.node_groups[0], 2)
        statuses = [(await call_with(caller, key)).status for key in (KEY, SMALL_KEY, "k-new")]
        assert statuses == [401, 401, 200]
        mesh.store.put("keyed.op", "config", record(3, [tenant(LARGE)]))
        await platform_mesh.until_active(mesh.node_groups[0], 3)
        assert (await call_with(caller, "k-new")).status == 401

    on_two_nodes(test, tmp_path)


async def call_with(node, key):
    return await platform_mesh.call(node, "/read/1", authorization=f"Token {key}")


def test_without_tenants_both_headers_reach_the_target(tmp_path):
    """Guards against a change for deployments that have no tenants."""

    async def test(mesh, node, target):
        headers = {"authorization": "token anything", "tenant": "anybody"}
        assert (await platform_mesh.call(node, "/read/1", **headers)).status == 200
        received = target.arrivals[-1].headers
        assert (received["authorization"], received["tenant"]) == ("token anything", "anybody")

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)


@pytest.mark.parametrize(
    "tenants",
    [
        [tenant("", "k")],
        [tenant("a", "k"), tenant("b", "k")],
        [tenant("a", "k"), tenant("a", "l")],
        [tenant("a", "")],
        [tenant("a\r\nx: y", "k")],
        [tenant("a", "k", rate_per_s=-1)],
        [tenant("a", "k", rate_per_s=1e12)],
        [tenant("a", "k", burst=-1)],
        [tenant("a", "k", rate_per_s="many")],
        [tenant("a", "k", priority=-1)],
        [{"api_keys": ["k"]}],
        [tenant(f"t{number}", f"k{number}") for number in range(10_000)],
    ],
    ids=lambda tenants: f"{len(tenants)}-{str(tenants[0])[:60]}",
)
def test_a_version_with_an_unusable_tenant_is_refused_whole(tenants):
    """Guards against a version of which only a part takes effect."""
    with pytest.raises(errors.DocumentError):
        operator_config.decode(record(2, tenants))


def test_a_problem_with_a_key_does_not_print_it():
    """Guards against keys in log lines."""
    with pytest.raises(errors.DocumentError) as caught:
        operator_config.decode(record(2, [tenant("a", "k-secret"), tenant("b", "k-secret")]))
    assert "k-secret" not in str(caught.value)
