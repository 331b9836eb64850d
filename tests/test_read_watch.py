"""When announced versions end the reads of the store."""

import types

import trio
import trio.testing

from buckthornstage.mesh import followers

SLOW_READ_MS = 1_000
ANNOUNCEMENT_INTERVAL_MS = 100
WATCHED_MS = 20_000


# Guards against reads that never end while versions are announced all the time: each was given up
# 0.8 s after its start, and a slow store takes longer for a response.
def test_reads_of_a_slow_store_end_while_versions_are_announced_all_the_time():
    ends_ms = []

    async def main():
        role = followers.ReaderRole()
        role.update(True, False)
        log = types.SimpleNamespace(emit=lambda *arguments, **fields: None)
        async with trio.open_nursery() as nursery:
            watch = followers.ReadWatch(role, log, nursery.start_soon)

            async def announce():
                for version in range(1, WATCHED_MS // ANNOUNCEMENT_INTERVAL_MS):
                    watch.on_announced(version)
                    await trio.sleep(ANNOUNCEMENT_INTERVAL_MS / 1_000)
                nursery.cancel_scope.cancel()

            nursery.start_soon(announce)
            while True:
                with role.reading():
                    found = watch.expected
                    await trio.sleep(SLOW_READ_MS / 1_000)
                    watch.on_read(found)
                    ends_ms.append(round(trio.current_time() * 1_000))

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert len(ends_ms) >= WATCHED_MS / SLOW_READ_MS / 3
