"""The store of the soak, which runs in a process of its own."""

import os

import pytest
import trio

from buckthornstage import errors
from buckthornstage.platform import store_client
from buckthornstage.soak import store_process

TOPIC = "keyed.op"
READ_WAIT_MS = 100
BEFORE_ANSWERS_S = 0.5
MAX_ANSWERED_S = 2


@pytest.fixture
def store():
    own = store_process.StoreProcess(2)
    yield own
    own.close()


async def newest(store, index=0):
    """Values of the topic, read through the proxy of a node."""
    with trio.fail_after(10):
        topic = store_client.StoreClient(store.addresses[index]).keyed_topic(TOPIC)
        return [record.value for record in (await topic.newest()).records]


async def is_refused(store, index=0):
    try:
        await newest(store, index)
    except errors.LogError:
        return True
    return False


def test_what_is_written_copied_and_restored_is_read(store):
    """Guards against a plan whose faults do not reach the process of the store."""

    async def play():
        await store.put(TOPIC, "config", b"1")
        assert await newest(store) == [b"1"]
        copy = store.take_copy()
        await store.put(TOPIC, "config", b"2")
        assert await newest(store) == [b"2"]
        store.restore(copy)
        assert await newest(store) == [b"1"]

    trio.run(play)


def test_faults_of_the_store_and_of_one_link_begin_and_end(store):
    """Guards against a fault of one node's link that all have, and against one that stays."""

    async def play():
        store.faults.outage_status = 503
        assert await is_refused(store, 0)
        assert await is_refused(store, 1)
        store.faults.outage_status = None
        store_process.RemotePart(store, 1).refuses = True
        assert not await is_refused(store, 0)
        assert await is_refused(store, 1)
        store_process.RemotePart(store, 1).refuses = False
        assert not await is_refused(store, 1)

    trio.run(play)


def test_open_connections_of_one_link_go_silent_and_new_ones_work(store):
    """Guards against a plan of silent connections whose nodes hear the store all the while."""

    async def play():
        topics = [store_client.StoreClient(each).keyed_topic(TOPIC) for each in store.addresses]
        for topic in topics:
            await topic.newest()
        store_process.RemotePart(store, 1).mute_open()
        await newest(store, 0)  # orders and reads share a loop, so the order is carried out now
        await topics[0].changes(0, READ_WAIT_MS)
        with pytest.raises(errors.LogTimeoutError):
            await topics[1].changes(0, READ_WAIT_MS)
        assert await newest(store, 1) == []

    trio.run(play)


def test_answers_to_writes_that_arrive_together_reach_each_of_them(store, monkeypatch):
    """Guards against a soak that never ends: seed 304 waited for answers that were dropped from
    the buffer by the next of several readers."""
    reader, writer = os.pipe()
    answered = []

    async def put():
        await store.put(TOPIC, "config", b"1")
        answered.append(True)

    async def play():
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(put)
            await trio.sleep(BEFORE_ANSWERS_S)
            os.write(writer, b"1\n2\n3\n")
            with trio.move_on_after(MAX_ANSWERED_S):
                while len(answered) < 3:
                    await trio.sleep(0.01)
            count = len(answered)
            os.close(writer)  # ends readers that still wait
        assert count == 3

    with open(reader, "rb") as answers, monkeypatch.context() as patch:
        patch.setattr(store.process, "stdout", answers)
        trio.run(play)
