import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from buckthornstage.link import frames
from buckthornstage.mesh import versions
from buckthornstage.routing import configuration_delta, routes

routes_by_key = strategies.dictionaries(
    strategies.tuples(strategies.sampled_from("ab"), strategies.sampled_from("vwxyz")),
    strategies.integers(1, 3),
    max_size=8,
)


def configuration(version, by_key):
    return routes.Configuration(
        version=version,
        routes=tuple(
            routes.Route(
                name=f"{host}{prefix}",
                host=host,
                prefix=f"/{prefix}/",
                is_idempotent=True,
                is_bulk=False,
                timeout_ms=timeout_ms,
                goal_ms=100,
                priority=1,
                max_attempts=2,
                shares=(routes.Share("desk", 1),),
            )
            for (host, prefix), timeout_ms in by_key.items()
        ),
        services=(routes.Service("desk", 110 + version),),
        limits=routes.CallLimits(
            max_header_bytes=1, max_body_bytes=1, header_timeout_ms=1, idle_timeout_ms=1
        ),
        tenants=(routes.Tenant("account", (f"key-{version}",)),),
    )


def same(left, right):
    as_sets = [
        (c.version, frozenset(c.routes), c.services, c.limits, c.tenants) for c in (left, right)
    ]
    return as_sets[0] == as_sets[1]


@hypothesis.given(routes_by_key, routes_by_key, routes_by_key)
def test_a_delta_gives_the_whole_newer_version_or_an_error(before, after, other):
    """Guards against a version that is in force only in part."""
    base, newer = configuration(1, before), configuration(2, after)
    delta = versions.unpack_delta(versions.pack(configuration_delta.make(base, newer)))
    assert same(configuration_delta.apply(base, delta), newer)
    wrong = configuration(1, other)
    try:
        assert same(configuration_delta.apply(wrong, delta), newer)
    except ValueError as error:
        assert "checksum" in str(error)
    with pytest.raises(ValueError, match="delta from version 1"):
        configuration_delta.apply(newer, delta)


def test_a_small_change_of_a_large_configuration_is_small():
    """Pattern: config storm. Guards against links that are filled with copies."""
    many = {(f"h{n}", "x"): 1 for n in range(1_100)}
    base = configuration(1, many)
    newer = configuration(2, {**many, ("h7", "x"): 2})
    assert len(versions.pack(configuration_delta.make(base, newer))) < 300
    assert len(versions.pack(newer)) > 3_000


def test_equal_routes_of_two_versions_are_one_object():
    """Guards against memory that grows with each version that is kept for deltas."""
    base = configuration(1, {("a", "x"): 1, ("a", "y"): 1})
    newer = configuration(2, {("a", "x"): 1, ("a", "y"): 2})
    shared = configuration_delta.share_routes(newer, base)
    assert shared == newer
    assert shared.routes[0] is base.routes[0] and shared.routes[1] is newer.routes[1]


def test_frames_of_an_older_release_are_read():
    """Guards against nodes of two releases that do not understand each other during an upgrade."""
    entry = ["n1", "z1", "desk", "10.0.0.1:1"]
    state = [0, 6, 0, 0, 90.0, 0, 1.0, 0]
    payload = msgspec.msgpack.encode([entry, 5, 1, True, -1, 3, state, [], 0, None, None])
    beacon = frames.decode_beacon(payload)
    assert not beacon.is_store_reader and beacon.entry.link_mbps == 0
    assert frames.decode_frame(msgspec.msgpack.encode([6, 3])) == frames.Fetch(3, 0)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(routes_by_key, strategies.randoms(), strategies.sampled_from("sdw")),
        min_size=2,
        max_size=8,
    )
)
def test_a_node_that_takes_deltas_or_whole_copies_routes_like_the_one_that_reads(steps):
    """Guards against a route of the newest version that a node refuses after a storm of versions:
    it skips some ("s"), and takes others as a delta ("d") or whole ("w")."""
    known = {}
    reader = follower = None
    for version, (by_key, order, how) in enumerate(steps, 1):
        names = sorted(by_key)
        order.shuffle(names)
        read = configuration(version, {name: by_key[name] for name in names})
        reader = known[version] = configuration_delta.share_routes(read, reader)
        if how == "s":
            continue
        if how == "d" and follower is not None:
            delta = configuration_delta.make(known[follower.version], reader)
            taken = configuration_delta.apply(follower, versions.unpack_delta(versions.pack(delta)))
        else:
            taken = versions.unpack(versions.pack(reader))
        follower = configuration_delta.share_routes(taken, follower)
        assert routes.compile_table(follower).hosts == routes.compile_table(read).hosts
