"""HTTP servers, raw TCP streams and call proxies on loopback for tests."""

import contextlib
import functools
import random
import socket

import trio

import fake_targets
from buckthornstage import clock as clocks
from buckthornstage.http import messages, server
from buckthornstage.proxy import call
from buckthornstage.proxy import server as proxy_server
from buckthornstage.routing import table

SMALL_BUFFER_BYTES = 4_096


def run(test, clock=None):
    async def main():
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                await test(nursery)
                nursery.cancel_scope.cancel()

    trio.run(main, clock=clock)


async def listen(nursery, handler, **options):
    http_server = server.HttpServer(handler, **options)
    listeners = await nursery.start(http_server.serve, "127.0.0.1:0")
    return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


async def listen_raw(nursery, handler):
    """Starts a TCP listener whose handler gets the raw stream."""
    listeners = await nursery.start(functools.partial(trio.serve_tcp, handler, 0, host="127.0.0.1"))
    return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


def listen_with_small_buffer(nursery, handler, address="127.0.0.1:0"):
    """Like `listen_raw`, but connections take few bytes that `handler` has not read; returns the
    address."""
    host, _, port = address.rpartition(":")
    listening = socket.create_server((host, int(port)))
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    listener = trio.SocketListener(trio.socket.from_stdlib_socket(listening))
    nursery.start_soon(trio.serve_listeners, handler, [listener])
    return f"{host}:{listening.getsockname()[1]}"


async def start_proxy(nursery, addresses, at_most_once=None, on_crash=None, **document):
    members = [fake_targets.make_member(f"n{i}", address) for i, address in enumerate(addresses, 1)]
    current = table.build(fake_targets.make_document(**document), members, "z1")
    proxy = call.CallProxy(
        fake_targets.SETTINGS,
        clocks.Clock(),
        random.Random(1),
        lambda: current,
        at_most_once,
        on_crash,
    )
    http_server = proxy_server.make_server(proxy)
    listeners = await nursery.start(http_server.serve, "127.0.0.1:0")
    proxy.http_server = http_server
    return proxy, f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


async def read_all(stream):
    data = b""
    with contextlib.suppress(trio.BrokenResourceError):
        while chunk := await stream.receive_some(65536):
            data += chunk
    return data


async def read_request(stream, buffer):
    """Next request as method, target, headers in lower case, body, and the bytes behind it; None at
    the end of the stream. `buffer` holds what was received before."""
    while b"\r\n\r\n" not in buffer:
        data = await stream.receive_some(65536)
        if not data:
            return None
        buffer += data
    head, _, buffer = buffer.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:])
    length = int(headers.get("content-length", 0))
    received = bytearray(buffer)
    while len(received) < length:
        data = await stream.receive_some(65536)
        if not data:
            return None
        received += data
    method, target, _ = lines[0].split(" ")
    return method, target, headers, bytes(received[:length]), bytes(received[length:])


async def open_raw(address):
    host, port = address.split(":")
    return await trio.open_tcp_stream(host, int(port))


async def echo(request):
    return messages.Response(200, ((b"x-target", request.target.encode()),), request.body)


async def wait_until_idle(proxy):
    """Waits until no call holds a slot or a connection."""
    while (
        any(s.admission.in_flight for s in proxy.services.values()) or proxy.dispatcher.pool.in_use
    ):
        await trio.sleep(0.005)
