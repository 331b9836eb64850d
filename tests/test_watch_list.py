"""Which peers a node observes: bounded in number, balanced, and replaced when they are lost."""

import collections

import pytest

from buckthornstage.link import frames
from buckthornstage.membership import directory, watch_list

OPEN = frames.IngressState(frames.IngressStatus.OPEN, slots=6, run_ms=90.0)
DOWN = frames.IngressState(frames.IngressStatus.TARGET_DOWN)
MAX_WATCHED = 60


def make_entries(count, zones=6, library_share=6):
    return [
        frames.NodeEntry(
            f"n{n}",
            f"z{n % zones}",
            "library" if n // zones % library_share == 0 else "desk",
            f"10.0.{n // 200}.{n % 200}:1",
        )
        for n in range(count)
    ]


def know(own, entries, now_ms=0, state=OPEN):
    """Directory of `own` that has heard all others."""
    known = directory.Directory(own)
    for entry in entries:
        if entry != own:
            known.receive_beacon(frames.Beacon(entry, 1, 1, False, -1, 1, state), now_ms)
    return known


def learn_all(entries):
    """Directory of the first node, which has heard nobody yet."""
    known = directory.Directory(entries[0])
    for entry in entries:
        known.learn(entry, 0)
    return known


def hear(known, peers, now_ms):
    for peer in peers:
        known.update_state(peer, OPEN, now_ms)


def answer_probes(known, now_ms, lost=()):
    """Starts the due probes and answers them, except those to lost peers; returns their number."""
    due = known.start_due_probes(now_ms)
    hear(known, [peer for peer in due if peer.entry.link_address not in lost], now_ms)
    return len(due)


@pytest.mark.parametrize("count", [30, 300, 750])
def test_probes_and_watched_peers_do_not_grow_with_the_fleet(count):
    """Pattern: quiet day. Guards against nodes that all observe each other: a report was up to 15 s
    old at 750 nodes."""
    entries = make_entries(count)
    known = know(entries[0], entries)
    for service in ("desk", "library"):
        known.candidates(service, 0)
        known.watches.needs_remote(service, 0)
    probes = 0
    for now_ms in range(0, 20_000, 100):
        for service in ("desk", "library"):
            known.candidates(service, now_ms)
            known.watches.needs_remote(service, now_ms)
        probes += answer_probes(known, now_ms)
    assert len(known.watches.watched) <= MAX_WATCHED
    assert probes / 20 <= 2 * MAX_WATCHED + 2 * directory.MAX_BACKGROUND_PROBES
    for service in ("desk", "library"):
        ages = [20_000 - peer.state_ms for peer in known.candidates(service, 20_000)]
        assert ages and max(ages) < 1_000


def test_each_ingress_is_watched_by_about_as_many_nodes():
    """Guards against an ingress that nobody, or everybody, sends calls to."""
    entries = make_entries(195)
    watchers = collections.Counter()
    for own in entries:
        known = know(own, entries)
        known.candidates("desk", 0)
        known.watches.needs_remote("desk", 0)
        known.refreshed_ms = None
        known.refresh(0)
        watchers.update(peer.entry.node for peer in known.candidates("desk", 0))
    desks = [entry.node for entry in entries if entry.service == "desk"]
    mean = sum(watchers[node] for node in desks) / len(desks)
    assert all(mean / 2 <= watchers[node] <= mean * 2 for node in desks)


def test_lost_and_closed_ingresses_make_room_for_others():
    """Pattern: half of a zone lost. Guards against candidates that are all lost while others of the
    zone are free."""
    entries = make_entries(300)
    known = know(entries[0], entries)
    near = [peer.entry.link_address for peer in known.candidates("desk", 0)]
    lost = set(near[: watch_list.LOCAL_PER_SERVICE])
    for now_ms in range(0, 3_000, 100):
        known.candidates("desk", now_ms)
        answer_probes(known, now_ms, lost)
    after = known.candidates("desk", 3_000)[: watch_list.LOCAL_PER_SERVICE]
    assert len(after) == watch_list.LOCAL_PER_SERVICE
    assert all(peer.is_reachable(3_000) and peer.entry.zone == "z0" for peer in after)
    known.update_state(after[0], DOWN, 3_000)
    known.refreshed_ms = None
    known.refresh(3_000)
    assert after[0] not in known.candidates("desk", 3_000)[: watch_list.LOCAL_PER_SERVICE]


def test_a_target_that_joins_a_zone_is_a_candidate_within_a_second():
    """Pattern: scale-out. Guards against new targets that get no calls."""
    entries = make_entries(40)
    known = know(entries[0], entries)
    known.candidates("desk", 0)
    joined = frames.NodeEntry("new", "z0", "desk", "10.9.9.9:1")
    known.receive_beacon(frames.Beacon(joined, 1, 1, False, -1, 1, OPEN), 100)
    known.refresh(600)
    assert "new" in [peer.entry.node for peer in known.candidates("desk", 600)]


def test_ingresses_that_are_not_known_yet_are_asked_before_closed_ones():
    """Pattern: most targets of a service down. Guards against calls refused for seconds while other
    zones have open ingresses that were never probed."""
    entries = make_entries(300)
    known = learn_all(entries)
    by_weight = sorted(known.peers.values(), key=lambda peer: peer.weight)
    of_service = [p for p in by_weight if (p.entry.service, p.entry.zone != "z0") == ("desk", True)]
    up = {peer.entry.link_address for peer in of_service[len(of_service) // 2 :]}
    found_ms = None
    for now_ms in range(0, 10_000, 110):
        known.watches.needs_remote("desk", now_ms)
        near = known.candidates("desk", now_ms)
        if any(peer.is_open for peer in near):
            found_ms = now_ms
            break
        for peer in known.start_due_probes(now_ms):
            known.update_state(peer, OPEN if peer.entry.link_address in up else DOWN, now_ms)
    assert found_ms is not None and found_ms <= 8_000
    assert len(up) >= watch_list.REMOTE_PER_SERVICE


def test_other_zones_are_watched_only_while_the_own_one_does_not_suffice():
    """Pattern: quiet day. Guards against datagrams between zones, which are charged by the byte."""
    entries = make_entries(300)
    known = know(entries[0], entries)

    def remote_watched(now_ms):
        known.candidates("desk", now_ms)
        known.refreshed_ms = None
        known.refresh(now_ms)
        peers = known.watches.watched.values()
        return sum(peer.entry.zone != "z0" for peer in peers)

    assert remote_watched(0) <= watch_list.BASE_PER_SIDE
    known.watches.needs_remote("desk", 1_000)
    assert remote_watched(1_000) >= watch_list.REMOTE_PER_SERVICE
    assert remote_watched(2_000 + watch_list.REMOTE_DEMAND_MS) <= watch_list.BASE_PER_SIDE


@pytest.mark.parametrize("count", [30, 198, 300, 750])
def test_probes_of_other_zones_do_not_grow_with_the_fleet(count):
    """Pattern: quiet day after a start of all nodes. Guards against bytes between zones that were
    nearly all probes: each node probed 8 nodes of other zones a second, and all of them at its
    start."""
    entries = make_entries(count)
    known = learn_all(entries)
    sent_ms = collections.defaultdict(list)
    length_s = max(60, int(0.7 * count))
    first_s = 10
    for now_ms in range(0, length_s * 1_000, 110):
        known.candidates("desk", now_ms)
        for peer in known.start_due_probes(now_ms):
            known.update_state(peer, OPEN, now_ms)
            if peer.entry.zone != "z0":
                sent_ms[peer.entry.link_address].append(now_ms)
    watched = watch_list.BASE_PER_SIDE * 1_000 / directory.PROBE_MS
    background = 1_000 / directory.REMOTE_PROBE_MS_PER_PEER
    total = sum(map(len, sent_ms.values()))
    first_total = sum(at < first_s * 1_000 for times in sent_ms.values() for at in times)
    assert total <= length_s * (watched + background) + directory.FIRST_REMOTE_PROBES
    assert first_total <= first_s * (watched + background) + directory.FIRST_REMOTE_PROBES
    # All of them have their turn.
    assert len(sent_ms) == 5 / 6 * count


def test_a_service_without_a_target_in_the_zone_has_candidates_elsewhere():
    entries = [entry for entry in make_entries(120) if entry.zone != "z0" or entry.node == "n0"]
    known = know(entries[0], entries)
    assert len(known.candidates("desk", 0)) == watch_list.REMOTE_PER_SERVICE


def test_a_peer_with_a_pending_call_is_watched():
    """Guards against a call that waits for a lost peer which nobody probes."""
    entries = make_entries(300)
    known = know(entries[0], entries)
    known.refresh(0)
    peer = next(
        p for p in known.peers.values() if p.entry.link_address not in known.watches.watched
    )
    peer.sent_ms.append(0)
    known.watch_for_call(peer)
    lost = {peer.entry.link_address}
    for now_ms in range(0, 1_200, 100):
        answer_probes(known, now_ms, lost)
    assert not peer.is_reachable(1_200)


@pytest.mark.parametrize(("has_zone_shares", "most_age_ms"), [(False, 600), (True, 1_000)])
def test_reports_of_watched_ingresses_elsewhere_are_recent_enough(has_zone_shares, most_age_ms):
    """Guards against shares of zones that rest on reports older than 1 s, and against probes to
    other zones that are sent as often as in the own zone only to renew these reports."""
    entries = make_entries(78, zones=3)
    known = know(entries[0], entries)
    known.has_zone_shares = has_zone_shares
    sent, oldest_ms = 0, 0
    for now_ms in range(0, 20_000, 100):
        known.candidates("desk", now_ms)
        known.watches.needs_remote("desk", now_ms)
        due = known.start_due_probes(now_ms)
        for peer in due:
            known.receive_beacon(
                frames.Beacon(peer.entry, 1, now_ms + 2, False, -1, 1, OPEN), now_ms
            )
        remote = [peer for peer in known.watches.watched.values() if not known.is_in_own_zone(peer)]
        if now_ms >= 5_000:
            sent += sum(not known.is_in_own_zone(peer) for peer in due)
            oldest_ms = max(oldest_ms, *(now_ms - peer.state_ms for peer in remote))
    assert oldest_ms <= most_age_ms
    # 8 watched ingresses elsewhere, each 500 or 800 ms, and up to 2 probes a second of the others.
    assert (sent / 15 <= 8 / 0.8 + 2) is has_zone_shares
