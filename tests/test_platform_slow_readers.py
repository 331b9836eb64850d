"""Memory of node processes while a crowd of clients takes long responses slowly or not at all."""

import platform_crowd
import pytest
import trio

import loopback

PIPELINED = 4
SLOW_READ_BYTES = 2_000
SLOW_READ_S = 0.05


async def _read_slowly(stream, number, turn):
    await stream.send_all(platform_crowd.encode(platform_crowd.download(number, turn)))
    while await stream.receive_some(SLOW_READ_BYTES):
        await trio.sleep(SLOW_READ_S)


async def _never_read(stream, number, turn):
    await stream.send_all(platform_crowd.encode(platform_crowd.download(number, turn)))
    await trio.sleep_forever()


async def _leave_halfway(stream, number, turn):
    await stream.send_all(platform_crowd.encode(platform_crowd.download(number, turn)))
    received = 0
    while received < len(platform_crowd.PACK) // 2:
        data = await stream.receive_some(65_536)
        if not data:
            return
        received += len(data)
        await trio.sleep(SLOW_READ_S)


async def _pipeline(stream, number, turn):
    paths = [platform_crowd.download(number, f"{turn}-{part}") for part in range(PIPELINED)]
    await stream.send_all(b"".join(map(platform_crowd.encode, paths)))
    while await stream.receive_some(SLOW_READ_BYTES):
        await trio.sleep(SLOW_READ_S)


CASES = {
    "slow": _read_slowly,
    "not_at_all": _never_read,
    "left_halfway": _leave_halfway,
    "pipelined": _pipeline,
}


@pytest.mark.parametrize("visit", CASES.values(), ids=CASES)
def test_clients_that_read_slowly_leave_memory_and_descriptors_for_others(visit, tmp_path):
    # Guards against responses that wait for their clients without a bound, until the node is killed
    # for its memory (measured: 366 to 627 MB on a machine of 150 MB).
    async def main(nursery):
        async with platform_crowd.two_nodes(nursery, tmp_path) as nodes:
            await platform_crowd.crowd(nodes[0].settings.call_address, visit)
            platform_crowd.check_bounds(*nodes)
            await platform_crowd.check_served(nodes[0])
            platform_crowd.check_bounds(*nodes)

    loopback.run(main)
