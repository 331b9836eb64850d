"""The store's stand-in and the proxies before it, in a process of their own.

A node gives up a call to the store after 2 s. A call passes through the loop of the stand-in about
twenty times, so it must not share that loop with the callers and targets of many nodes.
"""

import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator

import msgspec
import trio

from buckthornstage import clock as clocks
from buckthornstage.soak import lag, proxy
from buckthornstage.standins import platform_store, ports

READ_BYTES = 65_536
STORE = -1
"""Number of the store's faults among the parts; the others are the indexes of nodes."""


class _Set(msgspec.Struct, tag="set"):
    part: int
    name: str
    value: bool | int | None


class _Reset(msgspec.Struct, tag="reset"):
    part: int


class _Mute(msgspec.Struct, tag="mute"):
    part: int


class _Put(msgspec.Struct, tag="put"):
    topic: str
    key: str
    value: bytes


class _Trim(msgspec.Struct, tag="trim"):
    topic: str


class _Copy(msgspec.Struct, tag="copy"):
    number: int


class _Restore(msgspec.Struct, tag="restore"):
    number: int


_Order = _Set | _Reset | _Mute | _Put | _Trim | _Copy | _Restore
_order_decoder = msgspec.json.Decoder(_Order)


class RemotePart:
    """The faults of the store, or one proxy before it; sets attributes there."""

    def __init__(self, process: "StoreProcess", part: int) -> None:
        self.__dict__.update(process=process, part=part)

    def __setattr__(self, name: str, value: bool | int | None) -> None:
        self.process.tell(_Set(self.part, name, value))

    def reset_all(self) -> None:
        """Resets all connections of the proxy."""
        self.process.tell(_Reset(self.part))

    def mute_open(self) -> None:
        """Makes the open connections of the proxy silent for good."""
        self.process.tell(_Mute(self.part))


class StoreProcess:
    """The process, with one proxy for each node; `addresses` are theirs. `close` ends it."""

    def __init__(self, node_count: int) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "buckthornstage.soak.store_process", str(node_count)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.addresses = msgspec.json.decode(self.process.stdout.readline(), type=list[str])
        self.faults = RemotePart(self, STORE)
        self.copies = 0
        self.answer_turn = trio.Lock()
        """Held while an answer is read: a second reader of the stream would drop what the first one
        has left in the buffer. It is passed on in the order of the writes."""

    def tell(self, order: _Order) -> None:
        """Gives an order; orders are carried out one after the other."""
        self.process.stdin.write(msgspec.json.encode(order) + b"\n")
        self.process.stdin.flush()

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record as the operator does; returns when the store has it."""
        self.tell(_Put(topic, key, value))
        async with self.answer_turn:
            await trio.to_thread.run_sync(self.process.stdout.readline)

    def trim_topic(self, topic: str) -> None:
        """Drops the history of a topic."""
        self.tell(_Trim(topic))

    def take_copy(self) -> int:
        """Copies the store; returns the number of the copy."""
        self.copies += 1
        self.tell(_Copy(self.copies))
        return self.copies

    def restore(self, number: int) -> None:
        """Returns to a copy."""
        self.tell(_Restore(number))

    def close(self) -> int:
        """Ends the process; returns by how many ms its loop was late at most."""
        self.process.stdin.close()
        lines = self.process.stdout.read().splitlines()
        self.process.wait()
        self.process.stdout.close()
        return int(lines[-1]) if lines else 0


async def _lines() -> AsyncIterator[bytes]:
    stream = trio.lowlevel.FdStream(os.dup(sys.stdin.fileno()))
    buffer = b""
    while data := await stream.receive_some(READ_BYTES):
        *lines, buffer = (buffer + data).split(b"\n")
        for line in lines:
            yield line


async def _run(node_count: int) -> None:
    clock = clocks.Clock()
    store, address = platform_store.PlatformStore(clock), ports.free_address()
    proxies = [proxy.Proxy(address) for _ in range(node_count)]
    copies: dict[int, dict] = {}
    own_lag = lag.LoopLag(clock)
    async with trio.open_nursery() as nursery:
        await nursery.start(platform_store.serve, store, address)
        for each in proxies:
            await nursery.start(each.serve)
        nursery.start_soon(own_lag.measure)
        _answer([each.address for each in proxies])
        async for line in _lines():
            _obey(_order_decoder.decode(line), store, proxies, copies)
        nursery.cancel_scope.cancel()
    _answer(own_lag.longest_ms)


def _obey(
    order: _Order,
    store: platform_store.PlatformStore,
    proxies: list[proxy.Proxy],
    copies: dict[int, dict],
) -> None:
    match order:
        case _Set(part, name, value):
            setattr(store.faults if part == STORE else proxies[part], name, value)
        case _Reset(part):
            proxies[part].reset_all()
        case _Mute(part):
            proxies[part].mute_open()
        case _Put(topic, key, value):
            _answer(store.put(topic, key, value))
        case _Trim(topic):
            store.trim_topic(topic)
        case _Copy(number):
            copies[number] = store.take_copy()
        case _Restore(number):
            store.restore(copies.pop(number))


def _answer(value: object) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(value) + b"\n")
    sys.stdout.buffer.flush()


if __name__ == "__main__":
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the soak ends it by closing its input
    trio.run(_run, int(sys.argv[1]))
