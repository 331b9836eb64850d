import inspect

import trio
import trio.testing

from buckthornstage import clock

NOW = 1_700_000_000_000
SECRET = b"s" * 32


def uuid7(created_ms, number=0):
    digits = f"{created_ms:012x}7{number >> 60 & 0xFFF:03x}8{number & (1 << 60) - 1:015x}"
    return "-".join((digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:]))


class TrioClock(clock.Clock):
    """Clock on trio's time; `offset_ms` shifts the wall time."""

    def __init__(self, offset_ms=0):
        self.offset_ms = offset_ms

    def now_ms(self):
        return round(trio.current_time() * 1000)

    def wall_ms(self):
        return NOW + self.offset_ms + self.now_ms()


def with_nursery(prepare):
    """Decorator: runs an async test on a mock clock with what `prepare(nursery)` returns."""

    def decorate(test):
        async def main(arguments):
            is_finished = False
            with trio.fail_after(100_000):
                async with trio.open_nursery() as nursery:
                    await test(*prepare(nursery), **arguments)
                    is_finished = True
                    nursery.cancel_scope.cancel()
            # Without this check a fault that cancels the nursery would end the test as passed.
            assert is_finished

        def run(**arguments):
            trio.run(main, arguments, clock=trio.testing.MockClock(autojump_threshold=0))

        parameters = inspect.signature(test).parameters.values()
        keyword_only = [item for item in parameters if item.kind is item.KEYWORD_ONLY]
        run.__signature__ = inspect.Signature(keyword_only)
        run.__name__, run.__module__ = test.__name__, test.__module__
        return run

    return decorate
