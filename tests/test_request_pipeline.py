import hypothesis
from hypothesis import strategies

from buckthornstage.limits import request_pipeline

steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("start"), strategies.booleans()),
        strategies.tuples(strategies.just("complete"), strategies.integers(0, 20)),
        strategies.tuples(strategies.just("send"), strategies.just(0)),
        strategies.tuples(strategies.just("close"), strategies.just(0)),
    ),
    max_size=80,
)


@hypothesis.given(steps, strategies.integers(1, 4), strategies.integers(1, 2_000))
def test_responses_leave_once_and_in_order_within_the_bounds(steps, max_requests, max_held):
    """Guards against a response that reaches another request, and against unbounded buffers."""
    pipeline = request_pipeline.RequestPipeline(max_requests, max_held)
    running, started, sent = [], [], []
    overlaps = {}
    for name, value in steps:
        if name == "start" and pipeline.may_start(value):
            assert not pipeline.is_closing
            assert not pipeline.entries or (value and pipeline.held_bytes < max_held)
            entry = pipeline.start(len(started))
            overlaps[entry.payload] = value
            started.append(entry.payload)
            running.append(entry)
        elif name == "complete" and running:
            entry = running.pop(value % len(running))
            pipeline.complete(entry, value * 100)
        elif name == "send" and (entry := pipeline.first_ready()):
            assert pipeline.is_last(entry) == (entry.payload == started[-1])
            sent.append(entry.payload)
            pipeline.remove_first()
        elif name == "close":
            pipeline.close()
        assert len(pipeline.entries) <= max_requests
        assert pipeline.held_bytes == sum(entry.size for entry in pipeline.entries)
        behind = [entry.payload for entry in pipeline.entries][1:]
        assert all(overlaps[payload] for payload in behind)
    for entry in running:
        pipeline.complete(entry, 1)
    while (entry := pipeline.first_ready()) is not None:
        sent.append(entry.payload)
        pipeline.remove_first()
    assert sent == started and not pipeline.held_bytes


def test_a_slow_first_request_stops_the_start_of_more_once_much_is_held():
    """Guards against one slow call behind which finished responses fill the memory."""
    pipeline = request_pipeline.RequestPipeline(max_requests=8, max_held_bytes=1_000)
    slow, fast = pipeline.start("slow"), pipeline.start("fast")
    pipeline.complete(fast, 1_000)
    assert not pipeline.may_start(may_overlap=True)
    pipeline.complete(slow, 10)
    pipeline.remove_first()
    pipeline.remove_first()
    assert pipeline.may_start(may_overlap=False)
