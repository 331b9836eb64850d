from buckthornstage import clock
from buckthornstage.bench import control_mesh
from buckthornstage.history import buffer, events, queries
from buckthornstage.node import core_history
from buckthornstage.protocol import messages


def test_history_names_author_and_verdict_of_each_publish():
    """Guards against publish events without author and reason, which queries cannot read."""
    mesh = control_mesh.Mesh(1, {"zone-a": 2}, gossip_interval_ms=200, services=2)
    mesh.log.append(mesh.publisher.teams())
    mesh.log.append(mesh.publisher.backends(0))
    mesh.log.append(mesh.publisher.backends(0))
    for node in mesh.settings:
        mesh.start(node)
    cores = [process.core for process in mesh.nodes.values()]
    assert mesh.run_until(lambda: all(core.fold.state.last_offset == 3 for core in cores), 5_000)
    found = [event for core in cores for event in core.history.buffer.recent()]
    publications = queries.publishes(found)
    assert [entry.accepted for entry in publications] == [True, True, False]
    assert all(entry.author and entry.team for entry in publications)
    assert publications[-1].reason


def test_unacknowledged_events_are_repeated_less_and_less_often():
    """Guards against each node resending 50 events every second during a log outage."""
    held = buffer.EventBuffer("a1", "a", 1, clock.HybridClock(clock.FakeClock()))
    relay = core_history.HistoryRelay(held, "own", 0)
    held.add(events.EventKind.NODE_STARTED, 0)
    times = [now_ms for now_ms in range(0, 120_000, 100) if relay.tick("reader", now_ms)]
    assert len(times) <= 8
    assert max(b - a for a, b in zip(times, times[1:], strict=False)) <= 30_000
    relay.on_ack(messages.HistoryAck(1, 1))
    relay.tick("reader", 160_000)
    held.add(events.EventKind.NODE_READY, 0)
    assert relay.tick("reader", 161_000), "events are not sent although the log acknowledges again"
