"""Keyed calls: how the proxy uses at-most-once execution."""

import pytest

import loopback
from buckthornstage import errors
from buckthornstage.http import client, messages


def test_long_keyed_response_is_whole_and_frees_its_slot_above_the_limit():
    async def target(request):
        async def parts():
            for _ in range(int(request.body)):
                yield b"x" * 65536

        return messages.Response(200, stream=parts())

    class AtMostOnce:
        async def run(self, key, request, route, execute):
            return await execute(request)

    async def test(nursery):
        addresses = [await loopback.listen(nursery, target)]
        proxy, address = await loopback.start_proxy(nursery, addresses, AtMostOnce())
        key = ((b"idempotency-key", b"k"),)
        for count, status in ((b"3", 200), (b"1000", 502)):
            request = messages.Request("POST", "/deposit", key, count)
            response = await client.fetch(address, request)
            assert (response.status, response.header(b"transfer-encoding")) == (status, None)
            await loopback.wait_until_idle(proxy)

    loopback.run(test)


def test_keyed_call_runs_through_the_given_executor():
    class AtMostOnce:
        async def run(self, key, request, route, execute):
            self.seen = (key, route.name)
            with pytest.raises(errors.CallError) as caught:
                await execute(messages.Request("POST", "/deposit/gone"))
            self.kind = caught.value.kind
            return await execute(request)

    async def target(request):
        if request.target == "/deposit/gone":
            return messages.Response(503, ((b"buckthornstage-outcome", b"not-run"),))
        return await loopback.echo(request)

    async def test(nursery):
        keyed = AtMostOnce()
        _, address = await loopback.start_proxy(
            nursery, [await loopback.listen(nursery, target)], keyed
        )
        fields = ((b"idempotency-key", b"k"),)
        response = await client.fetch(address, messages.Request("POST", "/deposit", fields, b"x"))
        assert (response.status, response.body) == (200, b"x")
        assert (keyed.seen, keyed.kind) == (("k", "deposit"), errors.ErrorKind.OVERLOADED)

    loopback.run(test)
