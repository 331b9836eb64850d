"""The call address: an HTTP server whose handler is the call path."""

from buckthornstage.http import server
from buckthornstage.proxy import call


def make_server(proxy: call.CallProxy) -> server.HttpServer:
    """HTTP server for the call address with the body limit of the settings."""
    return server.HttpServer(proxy.handle, max_body_bytes=proxy.settings.max_body_bytes)
