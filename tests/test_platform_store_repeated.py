"""Reads and writes of a store that repeats earlier answers on kept connections, or cuts answers."""

import base64
import struct
import urllib.parse

import msgspec
import pytest
import trio

import loopback
from buckthornstage import errors
from buckthornstage.mesh import followers
from buckthornstage.platform import store_client

TOPIC = "keyed.nodes"
RECORD_LENGTH = struct.Struct(">I")


def encoded(key, value):
    return bytes([len(key)]) + key.encode() + value


class RawStore:
    """Store whose answers a test may change: `answers(number, own, earlier)` returns the bytes for
    the request with this number, by its own answer and the earlier ones of the connection. The own
    answer at their end follows after `pause_s`."""

    def __init__(self, answers, page=100, pause_s=0.0):
        self.answers = answers
        self.page = page
        self.pause_s = pause_s
        self.records = []
        self.requests = []
        self.is_refusing = False

    async def serve(self, stream):
        buffer, earlier = b"", []
        while (request := await loopback.read_request(stream, buffer)) is not None:
            _, target, _, body, buffer = request
            own = self._answer(target, body)
            self.requests.append(target)
            sent = self.answers(len(self.requests) - 1, own, earlier)
            earlier.append(own)
            if not sent.endswith(own):
                await stream.send_all(sent)
                return
            before = sent.removesuffix(own)
            if before and self.pause_s:
                await stream.send_all(before)
                await trio.sleep(self.pause_s)
                before = b""
            await stream.send_all(before + own)

    def _answer(self, target, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        status, answer = 200, b"{}"
        if self.is_refusing:
            status = 503
        elif parts.path.endswith("log-append"):
            self.records.append(body[RECORD_LENGTH.size :])
            end = len(self.records)
            answer = msgspec.json.encode({"offset": end - 1, "range_end": end})
        elif parts.path.endswith("log-read"):
            start = int(query["range_start"])
            answer = struct.pack(">QQ", len(self.records), 0)
            for raw in self.records[start : start + self.page]:
                answer += RECORD_LENGTH.pack(len(raw)) + raw
        else:
            newest = {raw[1 : 1 + raw[0]].decode(): raw[1 + raw[0] :] for raw in self.records}
            keys = sorted(key for key in newest if key > query.get("after", ""))
            items = [
                {"key": key, "value": base64.b64encode(newest[key]).decode()}
                for key in keys[: self.page]
            ]
            fields = {"items": items, "has_more": len(keys) > self.page}
            answer = msgspec.json.encode({**fields, "range_end": len(self.records)})
        return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(answer)) + answer


def on_store(store, test):
    async def main(nursery):
        address = await loopback.listen_raw(nursery, store.serve)
        await test(store_client.StoreClient(address).keyed_topic(TOPIC))

    loopback.run(main)


async def read_all(topic, position, end):
    """Keys and values of all changes up to `end`, read as a follower does."""
    found, failures = [], 0
    with trio.fail_after(5):
        while position < end:
            try:
                batch = await topic.changes(position, followers.WAIT_MS)
            except errors.LogError:
                failures += 1
                assert failures <= 3
                continue
            found += [(record.key, record.value) for record in batch.records]
            position = batch.next_position
    return found


@pytest.mark.parametrize("page", [100, 2], ids=["whole", "in_pages"])
@pytest.mark.parametrize("repeated", [1, 2, 3])
@pytest.mark.parametrize("pause_s", [0.0, 0.05], ids=["together", "later"])
def test_a_repeated_read_skips_no_record(page, repeated, pause_s):
    """Guards against a version that no node gets: an earlier read written once more on the kept
    connection moved the position past records that were never read."""

    def answers(number, own, earlier):
        return earlier[-1] + own if number == repeated and earlier else own

    store = RawStore(answers, page, pause_s)

    async def test(topic):
        names = [f"k{number}" for number in range(4)]
        store.records += [encoded(name, b"1") for name in names]
        first = await read_all(topic, 0, 4)
        store.records += [encoded(name, b"2") for name in names]
        second = await read_all(topic, 4, 8)
        assert first == [(name, b"1") for name in names]
        assert second == [(name, b"2") for name in names]

    on_store(store, test)


def test_a_repeated_answer_acknowledges_no_write():
    """Guards against a node whose entry nobody can read: the answer to an earlier write, written
    once more, was taken for that of a write that the store refused."""
    store = RawStore(lambda number, own, earlier: earlier[-1] + own if earlier else own)

    async def test(topic):
        await topic.put("a", b"1")
        store.is_refusing = True
        with pytest.raises(errors.LogError):
            await topic.put("b", b"1")
        assert len(store.records) == 1

    on_store(store, test)


@pytest.mark.parametrize("body", [b"", b"{", b'{"offset":'], ids=["empty", "brace", "cut"])
def test_an_answer_to_a_write_that_is_cut_acknowledges_nothing(body):
    """Guards against a write taken as done for the start of an answer without a length."""
    store = RawStore(lambda number, own, earlier: b"HTTP/1.1 200 X\r\n\r\n" + body)

    async def test(topic):
        with pytest.raises(errors.LogResponseLostError):
            await topic.put("a", b"1")

    on_store(store, test)


def test_pages_of_an_earlier_load_are_not_taken_for_those_of_a_later_one():
    """Guards against a node that misses keys until they change: the last page of an earlier load,
    written once more, ended the next load."""

    def answers(number, own, earlier):
        return earlier[2] + own if number == 4 and len(earlier) == 4 else own

    store = RawStore(answers, page=2)

    async def test(topic):
        store.records += [encoded(f"k{number}", b"1") for number in range(6)]
        assert len((await topic.newest()).records) == 6
        store.records += [encoded(f"n{number}", b"1") for number in range(6)]
        newest = await topic.newest()
        assert {record.key for record in newest.records} >= {f"n{number}" for number in range(6)}

    on_store(store, test)


def test_a_read_after_a_load_with_a_repeated_page_skips_no_record():
    """Guards against a page, left on the connection by a repeated one, that is taken for a read."""

    def answers(number, own, earlier):
        return earlier[-1] + own if number == 1 else own

    store = RawStore(answers, page=2)

    async def test(topic):
        store.records += [encoded(f"k{number}", b"1") for number in range(5)]
        newest = await topic.newest()
        assert {record.key for record in newest.records} == {f"k{number}" for number in range(5)}
        store.records.append(encoded("late", b"1"))
        assert await read_all(topic, newest.next_position, 6) == [("late", b"1")]

    on_store(store, test)


@pytest.mark.parametrize("call", ["newest", "changes", "put"])
@pytest.mark.parametrize("has_length", [True, False], ids=["length", "no_length"])
def test_an_answer_of_the_store_that_stops_anywhere_skips_and_adds_nothing(call, has_length):
    """Guards against records that are skipped, or a load without all keys, because the store
    stopped within an answer."""
    records = [encoded(f"k{number}", b"%d" % number) for number in range(3)]
    arguments = {"newest": (), "changes": (0, followers.WAIT_MS), "put": ("k", b"v")}[call]

    async def cut_at(sent):
        whole = [0]

        def answers(number, own, earlier):
            if not has_length:
                start, end = own.index(b"Content-Length"), own.index(b"\r\n\r\n")
                own = own[:start] + own[end + 2 :]
            whole[0] = len(own)
            return own[:sent]

        store = RawStore(answers)
        store.records += records
        async with trio.open_nursery() as nursery:
            address = await loopback.listen_raw(nursery, store.serve)
            topic = store_client.StoreClient(address).keyed_topic(TOPIC)
            try:
                batch = await getattr(topic, call)(*arguments)
            except errors.LogError:
                batch = None
            nursery.cancel_scope.cancel()
        return batch, sent < whole[0]

    async def main(nursery):
        sent, is_cut = 0, True
        while is_cut:
            batch, is_cut = await cut_at(sent)
            if is_cut and call != "changes":
                assert batch is None, sent
            elif is_cut and batch is not None:
                # Whole records may be taken; the next read begins with the one that was cut.
                assert not has_length
                assert batch.next_position == len(batch.records)
                assert [record.key for record in batch.records] == ["k0", "k1", "k2"][
                    : batch.next_position
                ]
            sent += 1

    loopback.run(main)


def test_a_read_that_holds_only_a_part_of_a_record_is_not_repeated_at_once():
    """Guards against a node that reads the store without a pause, as each read ends at the same
    position."""

    def answers(number, own, earlier):
        body = struct.pack(">QQ", 1, 0) + RECORD_LENGTH.pack(100) + b"short"
        return b"HTTP/1.1 200 X\r\n\r\n" + body

    async def test(topic):
        with pytest.raises(errors.LogError):
            await topic.changes(0, followers.WAIT_MS)

    on_store(RawStore(answers), test)
