"""Scaling with the number of nodes: the cost of a call must hardly grow with the fleet."""

import random

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

import loopback
import platform_mesh
from buckthornstage import clock as clocks
from buckthornstage.http import messages
from buckthornstage.limits import crash_guard, held_bytes
from buckthornstage.link import frames
from buckthornstage.membership import directory, store_readers
from buckthornstage.mesh import (
    egress,
    events,
    ingress,
    metrics,
    peers,
    pending_call,
    response_memory,
)
from buckthornstage.mesh import settings as mesh_settings
from buckthornstage.platform import call_headers
from buckthornstage.routing import ingress_selection, routes

STATUSES = (*[frames.IngressStatus.OPEN] * 4, frames.IngressStatus.TARGET_DOWN)
STATES = st.builds(
    frames.IngressState,
    st.sampled_from(STATUSES),
    st.integers(1, 13),
    st.integers(0, 13),
    st.integers(0, 20),
    st.sampled_from((0.0, 17.0, 90.0, 250.0)),
    st.integers(0, 3_000),
    st.sampled_from((0.02, 0.5, 1.0)),
)
CANDIDATES = st.builds(
    ingress_selection.Candidate,
    st.uuids().map(str),
    st.booleans(),
    STATES,
    st.integers(0, 2_000),
    st.none() | st.floats(0.5, 200.0),
    st.integers(0, 9),
    st.sampled_from((0.02, 0.7, 1.0)),
)


def pick_among_all(candidates, goal_ms, is_bulk, uniform):
    """Reference implementation: estimates all open candidates, then selects the best."""
    is_open = [item for item in candidates if item.state.status is frames.IngressStatus.OPEN]
    if not is_open:
        return None
    runs_ms = [item.state.run_ms for item in is_open if item.state.run_ms > 0]
    best_ms = min(runs_ms, default=ingress_selection.DEFAULT_RUN_MS)
    rates = [
        max(ingress_selection.MIN_SUCCESS_RATE, min(item.state.success_rate, item.success_rate))
        for item in is_open
    ]
    timed = []
    for item, rate in zip(is_open, rates, strict=True):
        fields = {name: getattr(item.state, name) for name in item.state.__struct_fields__}
        if not item.state.run_ms:
            is_cold = item.state.cold_left_ms > item.age_ms
            fields["run_ms"] = best_ms * (ingress_selection.COLD_FACTOR if is_cold else 1)
        state = frames.IngressState(**fields)
        known = (item.key, item.is_own_zone, state, item.age_ms, item.rtt_ms, item.sent_since)
        time_ms = ingress_selection.expected_ms(ingress_selection.Candidate(*known))
        score = time_ms / (rate / max(rates)) * (1 + ingress_selection.NOISE * uniform())
        timed.append((score, time_ms, item))
    local_limit_ms = goal_ms * (
        ingress_selection.LOCAL_ZONE_BULK_GOAL_FRACTION
        if is_bulk
        else ingress_selection.LOCAL_ZONE_GOAL_FRACTION
    )
    local = [entry for entry in timed if entry[2].is_own_zone and entry[0] <= local_limit_ms]
    penalty_ms = ingress_selection.REMOTE_PENALTY_FRACTION * goal_ms
    ranked = [
        (score + (0 if item.is_own_zone else penalty_ms), time_ms, item)
        for score, time_ms, item in timed
    ]
    _, time_ms, best = min(local or ranked, key=lambda entry: entry[0])
    return best.key, time_ms


@hypothesis.given(
    st.lists(CANDIDATES, max_size=12), st.floats(1, 3_000), st.booleans(), st.integers(0, 99)
)
def test_leaving_out_remote_candidates_selects_the_same_one(candidates, goal_ms, is_bulk, seed):
    """Guards against an optimised selection that differs from comparing all candidates."""
    found = ingress_selection.choose(candidates, goal_ms, is_bulk, random.Random(seed).random)
    picked = None if found is None else (found[0].key, found[1])
    assert picked == pick_among_all(candidates, goal_ms, is_bulk, random.Random(seed).random)


@pytest.mark.parametrize("remote_candidates", [6, 56])
def test_remote_candidates_are_not_estimated_while_a_local_one_is_fast_enough(
    remote_candidates, monkeypatch
):
    """Guards against a cost per call that grows with the fleet: each selection among 50 candidates
    estimated all of them."""
    estimates = []
    plain = ingress_selection.expected_ms
    monkeypatch.setattr(
        ingress_selection, "expected_ms", lambda *given: estimates.append(given) or plain(*given)
    )
    state = frames.IngressState(frames.IngressStatus.OPEN, slots=9, run_ms=90.0)
    own = [ingress_selection.Candidate(f"near-{n}", True, state, 0) for n in range(4)]
    far = [
        ingress_selection.Candidate(f"far-{n}", False, state, 0) for n in range(remote_candidates)
    ]
    assert ingress_selection.choose(own + far, 600.0, False, random.Random(1).random)[0].is_own_zone
    assert len(estimates) == len(own)


def make_egress(clock, node_count, descriptor):
    """Egress of a node without a target; all other nodes have an open ingress of "desk"."""
    known = directory.Directory(frames.NodeEntry("n0", "z0", "desk", "10.0.0.0:1"))
    state = frames.IngressState(frames.IngressStatus.OPEN, slots=9, run_ms=90.0)
    for n in range(1, node_count):
        entry = frames.NodeEntry(f"n{n}", f"z{n % 4}", "desk", f"10.0.0.{n}:1")
        known.receive_beacon(frames.Beacon(entry, 1, 1, False, -1, 1, state), clock.now_ms())
    addresses = dict.fromkeys(mesh_settings.MeshSettings.__struct_fields__, "10.0.0.0:1")
    numbers = {"heartbeat_s": 1.5, "grace_s": 6.0, "retry_ratio": 0.2, "retry_slack": 56.0}
    numbers["link_mbps"] = 10.0
    settings = mesh_settings.MeshSettings(**{**addresses, "zone": "z0", **numbers})
    log = events.EventLog("n0", descriptor)
    parts = (clock, call_headers.HEADER_CODEC, log, metrics.Metrics(), crash_guard.CrashGuard())
    own_ingress = ingress.Ingress(*parts, settings.heartbeat_ms)
    sizes = response_memory.ExpectedSizes(held_bytes.HeldBytes())
    return egress.Egress(settings, *parts, known, own_ingress, None, sizes)


def make_pending_call(now_ms):
    """A call that may reach at most two targets."""
    request = messages.Request("GET", "/read/1")
    route = routes.Route(
        name="r",
        host="shop.example",
        prefix="/read/",
        is_idempotent=True,
        is_bulk=False,
        timeout_ms=2_000,
        goal_ms=600,
        priority=1,
        max_attempts=2,
        shares=(routes.Share("desk", 1),),
    )
    times = (now_ms, now_ms + 600, now_ms + 1_400, now_ms + 1_450, now_ms + 1_500)
    return pending_call.PendingCall("c", request, route, "desk", 1, *times, "mark", False)


@pytest.mark.parametrize("node_count", [10, 60])
def test_whether_a_call_may_be_retried_is_known_from_one_open_candidate(
    node_count, monkeypatch, tmp_path
):
    """Guards against building the list of all candidates only to check that it is not empty: every
    failed attempt did so, and most of them occur when the system is already in trouble."""
    clock = clocks.FakeClock(10_000)
    with (tmp_path / "log").open("wb") as log:
        own_egress = make_egress(clock, node_count, log.fileno())
        made = []
        plain = ingress_selection.Candidate
        monkeypatch.setattr(
            ingress_selection, "Candidate", lambda *given: made.append(given) or plain(*given)
        )
        own_egress.choice.budget("desk").record_call(1)
        assert own_egress.choice.may_retry(make_pending_call(clock.now_ms()))
        assert len(made) == 1


@pytest.mark.parametrize("node_count", [10, 60])
def test_a_directory_that_is_read_whole_is_searched_once_for_peers_to_ask(
    node_count, monkeypatch, tmp_path
):
    """Guards against a startup cost that is quadratic in the fleet: for each directory entry, the
    new node searched all peers that it had learned so far."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        for n in range(node_count):
            entry = frames.NodeEntry(f"m{n}", "z1", "desk", f"127.0.1.{n}:9")
            mesh.store.put("keyed.nodes", entry.link_address, msgspec.msgpack.encode(entry))
        await mesh.start_store()
        searches = []
        plain = peers.Peers.learn
        monkeypatch.setattr(
            peers.Peers, "learn", lambda own, given: searches.append(given) or plain(own, given)
        )
        started = await mesh.start_node("n1")
        await platform_mesh.until(lambda: started.is_ready)
        assert len(started.directory.peers) == node_count
        # A later read returns the node's own entry.
        assert len([given for given in searches if started.directory.own not in given]) == 1

    loopback.run(main)


ZONE_PEERS = st.lists(
    st.tuples(
        st.booleans(),  # in the own zone
        st.sampled_from((0.0, 100.0, 1_000.0)),
        st.booleans(),  # reachable
        st.booleans(),  # reads the store
    ),
    max_size=12,
)


def zone_directory(peers):
    """Directory of node 0 that has heard the given peers."""
    own = frames.NodeEntry("n0", "z0", "desk", "10.0.0.0:1", 100.0)
    known = directory.Directory(own)
    state = frames.IngressState(frames.IngressStatus.OPEN)
    for n, (is_near, link_mbps, is_reachable, is_reader) in enumerate(peers, 1):
        zone = "z0" if is_near else "z1"
        entry = frames.NodeEntry(f"n{n}", zone, "desk", f"10.0.0.{n}:1", link_mbps)
        beacon = frames.Beacon(entry, 1, 1, False, -1, 1, state, is_store_reader=is_reader)
        known.receive_beacon(beacon, 0).is_connection_broken = not is_reachable
    return known


@hypothesis.given(ZONE_PEERS, ZONE_PEERS, st.lists(st.integers(0, 900), max_size=6))
def test_the_kept_order_of_the_zone_decides_who_reads_as_all_ranks_do(before, after, waits):
    """Guards against an optimised choice of the store's readers that differs from ranking all peers
    at each tick, also when entries change, nodes leave, and readers or connections come and go."""
    known = zone_directory(before)
    reference = store_readers.ReaderElection(store_readers.rank(known.own))
    now_ms = 1_000

    def compare():
        known.refresh(now_ms)
        near = [peer for peer in known.peers.values() if known.is_in_own_zone(peer)]
        ranks = [store_readers.rank(peer.entry) for peer in near]
        others = [
            store_readers.ZoneNode(rank, peer.is_store_reader)
            for rank, peer in zip(ranks, near, strict=True)
            if peer.is_reachable(now_ms)
        ]
        better = sum(rank < store_readers.rank(known.own) for rank in ranks)
        assert known.is_first_reader() == (better < store_readers.READERS_PER_ZONE)
        assert known.update_reader_role(now_ms) == reference.update(others, now_ms)

    for wait_ms in waits:
        now_ms += wait_ms
        compare()
    changed = zone_directory(after)
    for address in known.peers.keys() - changed.peers.keys():
        known.drop(address)
    for address, peer in changed.peers.items():
        known.learn(peer.entry, now_ms)
        known.peers[address].heard_ms = now_ms
        known.peers[address].is_store_reader = peer.is_store_reader
        known.peers[address].is_connection_broken = peer.is_connection_broken
    for wait_ms in (0, *waits):
        now_ms += wait_ms
        compare()


@pytest.mark.parametrize("zone_peers", [10, 60])
def test_ticks_between_two_refreshes_rank_no_peer(zone_peers, monkeypatch):
    """Guards against an idle cost that grows with the zone: each tick of each node ranked all peers
    of its zone to know whether it reads the store."""
    known = zone_directory([(True, 100.0, True, False)] * zone_peers)
    known.refresh(1_000)
    ranked = []
    plain = store_readers.rank
    monkeypatch.setattr(store_readers, "rank", lambda entry: ranked.append(entry) or plain(entry))
    for tick in range(1, 5):
        now_ms = 1_000 + 100 * tick
        known.refresh(now_ms)
        known.update_reader_role(now_ms)
    assert not ranked
    known.refresh(1_000 + directory.REFRESH_MS)
    assert len(ranked) == zone_peers
