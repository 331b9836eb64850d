import random

import hypothesis
import pytest
import trio
import trio.testing
from hypothesis import strategies

import fake_log
import keyed_calls
from buckthornstage import errors
from buckthornstage.idempotency import claim_service, claims, keys
from buckthornstage.protocol import log, messages

NOW, uuid7 = keyed_calls.NOW, keyed_calls.uuid7
A, B = claims.Owner("a", 1), claims.Owner("b", 1)


def _identity(number):
    return keys.caller_key(uuid7(NOW, number)).identity


@hypothesis.given(
    strategies.lists(strategies.lists(strategies.integers(0, 5), max_size=4), max_size=8)
)
def test_first_claim_decides_for_every_reader_whatever_it_reads_twice(batches):
    folds = [claims.ClaimFold(), claims.ClaimFold()]
    expected = {}
    records = []
    for offset, numbers in enumerate(batches, 1):
        owner = claims.Owner(f"n{offset}", offset)
        batch = claims.make_batch(bytes(16), {_identity(number): owner for number in numbers})
        records.append((offset, claims.decode(claims.encode(batch))))
        for number in numbers:
            expected.setdefault(number, owner)
    for record in records:
        folds[0].apply(*record)
    for record in records + records[::-1]:
        folds[1].apply(*record)
    for number in range(6):
        assert {fold.owner(_identity(number)) for fold in folds} == {expected.get(number)}


def test_malformed_claims_are_ignored_and_newer_formats_stop_the_fold():
    bad = claims.ClaimBatch(1, bytes(16), (A,), ((bytes(16), 1),))
    assert claims.decode(claims.encode(bad)) is None and claims.decode(b"\xc1") is None
    newer = claims.ClaimBatch(2, bytes(16), (A,), ())
    with pytest.raises(errors.UnknownRulesError):
        claims.decode(claims.encode(newer))


def _claim_batcher():
    identifiers = iter(range(1_000))
    return claims.ClaimBatcher(
        0, 50, 5_000, keys.KEY_WINDOW_MS, lambda: next(identifiers).to_bytes(16), random.Random(1)
    )


def _request(number, owner=A):
    return messages.ClaimRequest(number, uuid7(NOW, number), owner.node, owner.incarnation)


def _batch(*payloads, start=1):
    records = tuple(log.LogRecord(start + i, payload) for i, payload in enumerate(payloads))
    return log.LogBatch("claims-0", 1, start - 1 + len(payloads), records)


def test_lost_answer_is_looked_for_before_the_same_batch_is_appended_again():
    batcher = _claim_batcher()
    batcher.request("a:1", _request(1), 0, NOW)
    assert batcher.tick(49, NOW) == []
    (first,) = batcher.tick(50, NOW)
    batcher.on_append_lost(50)
    (read,) = batcher.tick(batcher.due_ms(), NOW)
    assert isinstance(read, claims.Read) and read.offset == 1
    assert batcher.on_read(_batch(), 200, NOW) == []
    (second,) = batcher.tick(batcher.due_ms(), NOW)
    assert second == first
    batcher.on_append_lost(300)
    batcher.tick(batcher.due_ms(), NOW)
    other = claims.encode(claims.make_batch(b"o" * 16, {_identity(1): B}))
    (response,) = batcher.on_read(_batch(other, first.payload, second.payload), 400, NOW)
    assert (response.address, response.verdict.owner_node) == ("a:1", "b")
    # A key with a known owner needs no append or read.
    (again,) = batcher.request("c:1", _request(1), 500, NOW)
    assert (again.address, again.verdict.owner_node) == ("c:1", "b")


def test_key_that_expired_during_a_pause_gets_no_verdict():
    batcher = _claim_batcher()
    late = NOW + keys.KEY_WINDOW_MS
    batcher.request("a:1", _request(1), 0, late)
    (append,) = batcher.tick(50, late)
    batcher.on_append()
    batcher.tick(60, late)
    assert batcher.on_read(_batch(append.payload), 70, late + 10**8) == []
    assert batcher.request("a:1", _request(1), 80, late + 10**8) == []


def test_batcher_whose_clock_is_ahead_serves_keys_that_others_still_accept():
    batcher = _claim_batcher()
    ahead_ms = NOW + keys.KEY_WINDOW_MS + 700
    batcher.request("a:1", _request(1), 0, ahead_ms)
    (append,) = batcher.tick(50, ahead_ms)
    batcher.on_append()
    batcher.tick(60, ahead_ms)
    (response,) = batcher.on_read(_batch(append.payload), 70, ahead_ms)
    assert response.verdict.owner_node == "a"


def test_memory_of_expired_claims_is_released():
    fold = claims.ClaimFold()
    fold.apply(1, claims.make_batch(bytes(16), {_identity(1): A}))
    fold.prune(NOW - 3_600_000)
    assert len(fold) == 1
    fold.prune(NOW + 3_600_000)
    assert len(fold) == 0


def test_full_fold_claims_no_new_key_but_answers_known_ones(monkeypatch):
    monkeypatch.setattr(claims, "MAX_CLAIMED_KEYS", 1)
    batcher = _claim_batcher()
    batcher.fold.apply(1, claims.make_batch(bytes(16), {_identity(1): B}))
    batcher.request("a:1", _request(2), 0, NOW)
    assert batcher.tick(10_000, NOW) == [] and batcher.is_full
    assert batcher.request("a:1", _request(1), 0, NOW)[0].verdict.owner_node == "b"
    assert batcher.tick(20_000, NOW + 10**8) != [] and not batcher.is_full


class _Zone:
    """Claim services of several nodes; messages for which `lose` is true are dropped."""

    def __init__(self, log_client, names, batchers=None):
        self.log_client = log_client
        self.services = {}
        self.lose = lambda message: False
        self.batchers = batchers or names
        for name in names:
            self.services[name] = claim_service.ClaimService(
                name,
                1,
                name,
                log_client,
                keyed_calls.TrioClock(),
                lambda partition, rank: self.batchers[rank % len(self.batchers)],
                self._sender(name),
                partitions=2,
                rng=random.Random(2),
            )

    def _sender(self, sender):
        def send(address, message):
            if address in self.services and not self.lose(message):
                self.services[address].on_message(sender, message)

        return send

    async def start(self, nursery):
        for service in self.services.values():
            await nursery.start(service.run)


_with_nursery = keyed_calls.with_nursery(lambda nursery: [nursery])


def _claim_everywhere(zone, found):
    async def claim(name):
        try:
            found.append(await zone.services[name].claim(uuid7(NOW, 1)))
        except errors.LogUnavailableError:
            found.append(None)

    return claim


@pytest.mark.parametrize("append_result", ["ok", "refused", "lost_done", "lost_never", "late"])
@_with_nursery
async def test_all_nodes_learn_one_owner_whatever_became_of_the_append(nursery, *, append_result):
    log_client = fake_log.FakeLog()
    zone = _Zone(log_client, ["a", "b", "c"])
    await zone.start(nursery)
    log_client.faults.extend([append_result, append_result])
    found = []
    async with trio.open_nursery() as callers:
        for name in zone.services:
            callers.start_soon(_claim_everywhere(zone, found), name)
    assert len(set(found)) == 1 and found[0] is not None


@_with_nursery
async def test_silent_batcher_is_passed_over_and_lost_messages_are_sent_again(nursery):
    zone = _Zone(fake_log.FakeLog(), ["a", "b"], ["gone", "b"])
    await zone.start(nursery)
    lost = []
    zone.lose = lambda message: len(lost) < 2 and not lost.append(message)
    assert await zone.services["a"].claim(uuid7(NOW, 1)) == ("a", 1)
    assert len(lost) == 2


@_with_nursery
async def test_claim_without_a_verdict_ends_and_leaves_nothing_waiting(nursery):
    log_client = fake_log.FakeLog()
    zone = _Zone(log_client, ["a"])
    await zone.start(nursery)
    log_client.is_down = True
    with pytest.raises(errors.LogUnavailableError):
        await zone.services["a"].claim(uuid7(NOW, 1))
    service = zone.services["a"]
    assert service.waiters == {} and service.verdicts == {}
    log_client.is_down = False
    assert await service.claim(uuid7(NOW, 1)) == ("a", 1)


@_with_nursery
async def test_idle_service_reads_no_partition_that_it_does_not_follow(nursery):
    zone = _Zone(fake_log.FakeLog(), ["a"])
    await zone.start(nursery)
    service = zone.services["a"]
    service.follow([0, 1])
    await trio.sleep(3)
    assert set(service.claim_batchers) == {0, 1}
    service.follow([1])
    await trio.sleep(3)
    assert set(service.claim_batchers) == {1}


@_with_nursery
async def test_batches_are_shared_by_the_calls_of_one_interval(nursery):
    log_client = fake_log.FakeLog()
    zone = _Zone(log_client, ["a"])
    await zone.start(nursery)
    async with trio.open_nursery() as callers:
        for number in range(200):
            callers.start_soon(zone.services["a"].claim, uuid7(NOW, number))
    assert log_client.appends == 2  # one for each partition
