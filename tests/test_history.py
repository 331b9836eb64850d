import builtins

import pytest

from buckthornstage import errors
from buckthornstage.history import batches, events, plot, publications, queries, rendering
from buckthornstage.protocol import effects, messages

KIND = events.EventKind
T0 = 1_700_000_000_000


def _event(node, sequence, at_ms, kind=KIND.VERSION_ACTIVATED, version=0, detail="", skew=0, inc=1):
    return events.Event(node, inc, sequence, "z", T0 + at_ms, 0, kind, version, detail, skew)


def _send(collector, sequences, node="a"):
    batch = messages.HistoryBatch(tuple(_event(node, number, number) for number in sequences))
    return collector.receive(node, 1, f"{node}:1", batch)


def test_events_are_acknowledged_only_after_a_confirmed_append():
    collector = batches.Collector()
    assert _send(collector, (1, 2)) == []
    (append,) = collector.tick(0)
    assert [event.sequence for event in batches.decode(append.payload)] == [1, 2]
    assert _send(collector, (1, 2, 3)) == [] and collector.tick(5_000) == []
    collector.append_failed()
    (append,) = collector.tick(5_000)
    assert [event.sequence for event in batches.decode(append.payload)] == [1, 2, 3]
    ack = effects.Send("a:1", messages.HistoryAck(1, 3))
    assert collector.appended() == [ack]
    # If the acknowledgement is lost and the node sends again, nothing is appended twice.
    assert _send(collector, (1, 2, 3)) == [ack]
    assert collector.tick(99_000) == [] and collector.waiting == 0


def test_collector_refuses_what_could_lead_to_a_wrong_acknowledgement():
    collector = batches.Collector()
    _send(collector, (1, 3))
    foreign = messages.HistoryBatch((_event("b", 1, 0),))
    collector.receive("a", 1, "a:1", foreign)
    assert (collector.waiting, collector.refused_batches) == (0, 2)


def test_large_backlog_is_appended_in_bounded_records():
    collector = batches.Collector()
    long = tuple(_event("a", n, n, detail="x" * 1_000) for n in range(1, 1_001))
    collector.receive("a", 1, "a:1", messages.HistoryBatch(long))
    written = []
    for now_ms in range(0, 30_000, 1_000):
        for append in collector.tick(now_ms):
            assert len(append.payload) <= batches.MAX_RECORD_BYTES
            written += [event.sequence for event in batches.decode(append.payload)]
            collector.appended()
    assert written == list(range(1, 1_001))


def test_malformed_history_record_is_reported_not_fatal():
    with pytest.raises(errors.ProtocolError):
        batches.decode(b"\xc1")


def test_in_force_names_every_version_that_the_uncertainty_allows():
    recorded = [
        _event("a", 1, 0, KIND.NODE_STARTED),
        _event("a", 2, 100, version=5),
        _event("a", 3, 1_000, version=6, skew=50),
        _event("a", 2, 100, version=5),
    ]
    assert queries.in_force(recorded, "a", T0 - 1).version is None
    assert queries.in_force(recorded, "a", T0 + 500).possible == (5,)
    near = queries.in_force(recorded, "a", T0 + 1_020)
    assert (near.version, near.possible, near.is_certain) == (6, (5, 6), False)
    assert queries.in_force(recorded, "a", T0 + 960).possible == (5, 6)
    assert queries.in_force(recorded, "a", T0 + 1_050).is_certain


def test_restart_puts_nothing_in_force_until_the_next_activation():
    recorded = [_event("a", 1, 0, version=5), _event("a", 1, 10, KIND.NODE_STARTED, inc=2)]
    assert queries.in_force(recorded, "a", T0 + 10).version == 0


def test_nodes_differing_leaves_out_dead_nodes_and_keeps_uncertain_ones():
    recorded = [_event(node, 1, 0, version=5) for node in "abcd"]
    recorded += [
        _event("b", 2, 50, version=6),
        _event("a", 2, 60, KIND.MEMBER_DEAD, 5, "c incarnation 1"),
        _event("d", 2, 70, version=6, skew=40),
    ]
    assert [row.node for row in queries.nodes_differing(recorded, 6, T0 + 80)] == ["a", "d"]


def test_publishes_name_author_and_reason_once_for_all_reporters():
    text = publications.encode(
        publications.PublishDetail(7, "p" * 26, "routing", "web", "Mei", "conflict", '"x"\n' * 300)
    )
    assert len(text) < 1_000
    recorded = [_event(node, 1, 5, KIND.PUBLISH_REFUSED, 4, text) for node in "ab"]
    recorded.append(_event("c", 1, 6, KIND.PUBLISH_ACCEPTED, 3, "text of another release"))
    rows = queries.publishes(recorded)
    assert [(row.offset, row.accepted, row.reason, row.reporters) for row in rows] == [
        (3, True, "", 1),
        (7, False, "conflict", 2),
    ]
    line = rendering.text_lines(rows)[1]
    assert "routing by Mei of web: refused (conflict)" in line


def test_timeline_lines_cannot_be_forged_by_a_detail():
    recorded = [_event("b", 1, 2, detail="x\n2023 forged"), _event("a", 1, 1)]
    ordered = queries.timeline(recorded)
    assert [event.node for event in ordered] == ["a", "b"]
    assert all("\n" not in line for line in rendering.text_lines(ordered))
    assert all("\n" not in line for line in rendering.json_lines(ordered))


def test_plot_writes_a_picture_or_says_what_is_missing(tmp_path, monkeypatch):
    recorded = [_event("a", 1, 0, version=5), _event("b", 1, 9, KIND.NODE_STARTED)]
    plot.plot(recorded, tmp_path / "line.png")
    assert (tmp_path / "line.png").read_bytes().startswith(b"\x89PNG")
    real_import = builtins.__import__

    def without_matplotlib(name, *arguments, **options):
        if name.startswith("matplotlib"):
            raise ImportError(name)
        return real_import(name, *arguments, **options)

    monkeypatch.setattr(builtins, "__import__", without_matplotlib)
    with pytest.raises(plot.PlotUnavailableError, match="requirements-dev"):
        plot.plot(recorded, tmp_path / "other.png")
