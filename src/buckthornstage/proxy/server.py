"""HTTP server of the call address."""

from buckthornstage.http import server
from buckthornstage.proxy import call


def make_server(proxy: call.CallProxy) -> server.HttpServer:
    """HTTP server that passes requests to `proxy`, with the body limit of its settings."""
    return server.HttpServer(proxy.handle, max_body_bytes=proxy.settings.max_body_bytes)
