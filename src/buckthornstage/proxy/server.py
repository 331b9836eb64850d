"""The call address: an HTTP server whose handler is the call path."""

import gc

from buckthornstage.http import server
from buckthornstage.proxy import call

ALLOCATIONS = 20_000  # one call makes several hundred; the default of 700 collects in every call


def make_server(proxy: call.CallProxy) -> server.HttpServer:
    """HTTP server for the call address with the body limit of the settings."""
    return server.HttpServer(proxy.handle, max_body_bytes=proxy.settings.max_body_bytes)


def tune_garbage_collection() -> None:
    """Makes collections rare and short; call once when the process has started.

    Calls free their objects by reference counting, so collections find almost nothing.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(ALLOCATIONS, 10, 100)
