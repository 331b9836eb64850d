"""Tests of the administration API on a node core without network."""

import json
import random

import pytest
import trio

from buckthornstage import clock
from buckthornstage.admin import api
from buckthornstage.document import reader
from buckthornstage.history import buffer, events
from buckthornstage.http import messages
from buckthornstage.membership import records
from buckthornstage.node import context, core, transport
from buckthornstage.settings import node_settings

HOST = "10.0.0.1"
SETTINGS = node_settings.NodeSettings(
    node="a1",
    zone="a",
    region="r",
    call_address=f"{HOST}:1",
    admin_address=f"{HOST}:2",
    control_address=f"{HOST}:3",
    log_url="http://10.0.0.9:4",
    mesh_secret="s" * 32,
    root_public_key="",
    admin_tokens={"operator": "traffic", "viewer": "read-only"},
)


class SilentTransport:
    """Counts traffic and sends nothing."""

    def __init__(self):
        self.traffic = transport.Traffic()

    def send(self, address, message):
        self.traffic.messages_sent += 1


def make_api():
    fake_clock = clock.FakeClock()
    event_buffer = buffer.EventBuffer("a1", "a", 1, clock.HybridClock(fake_clock))
    rng = random.Random(1)
    node_core = core.NodeCore(SETTINGS, 1, reader.LogFold("", b"s"), event_buffer, rng, 0)
    appends, _ = trio.open_memory_channel(1)
    node = context.NodeContext(
        SETTINGS, fake_clock, rng, node_core, SilentTransport(), None, appends, print
    )
    return api.AdminApi(node, dict)


def send_request(admin, method, path, token=None, body=b"", peer=HOST):
    headers = ((b"authorization", f"Bearer {token}".encode()),) if token else ()
    response = trio.run(admin.handle, messages.Request(method, path, headers, body, peer))
    return response.status, json.loads(response.body)


def announcement(**changes):
    fields = {
        "service": "desk",
        "address": f"{HOST}:80",
        "slots": 20,
        "connections": 110,
        "incarnation": 1,
        "status": "ready",
        "started_at_ms": 5,
    }
    return json.dumps({**fields, **changes}).encode()


def own_target(admin):
    return admin.node.core.member.record.targets


@pytest.mark.parametrize(
    ("method", "path", "token", "status"),
    [
        ("GET", "/status", None, 401),
        ("GET", "/status", "wrong", 401),
        ("GET", "/status", "viewer", 200),
        ("GET", "/document", "viewer", 200),
        ("GET", "/members", "operator", 200),
        ("GET", "/metrics", "viewer", 200),
        ("GET", "/events", "viewer", 200),
        ("POST", "/drain", "viewer", 403),
        ("POST", "/drain", None, 401),
        ("GET", "/secrets", "operator", 404),
    ],
)
def test_each_endpoint_asks_for_its_right(method, path, token, status):
    """Guards against an endpoint that responds or acts for a caller without the required right."""
    admin = make_api()
    response_status, body = send_request(admin, method, path, token, b'{"enabled": true}')
    assert response_status == status
    assert not admin.is_draining
    denied = [e for e in admin.node.core.history.buffer.recent() if e.kind == "access_denied"]
    assert len(denied) == (status in (401, 403))
    assert status == 200 or body["error"]


def test_announcement_from_another_host_changes_nothing():
    """Guards against another host that announces a target for this VM."""
    admin = make_api()
    assert send_request(admin, "POST", "/announce", body=announcement(), peer="10.0.0.2")[0] == 403
    assert own_target(admin) == ()
    recent = admin.node.core.history.buffer.recent()
    assert recent[-1].kind is events.EventKind.ACCESS_DENIED


def test_drain_marks_the_target_and_later_announcements_as_leaving():
    """Guards against an announcement that undoes an operator's drain."""
    admin = make_api()
    assert send_request(admin, "POST", "/announce", body=announcement())[0] == 200
    assert own_target(admin)[0].status is records.TargetStatus.READY
    assert send_request(admin, "POST", "/drain", "operator", b'{"enabled": true}')[0] == 200
    send_request(admin, "POST", "/announce", body=announcement())
    assert own_target(admin)[0].status is records.TargetStatus.LEAVING
    send_request(admin, "POST", "/drain", "operator", b'{"enabled": false}')
    assert own_target(admin)[0].status is records.TargetStatus.READY


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"{", b"\xff", announcement(slots="x"), announcement(extra=1), b'{"service": 1}'],
)
def test_malformed_announcement_is_refused_with_the_place(body):
    """Guards against invalid input in the member record."""
    admin = make_api()
    status, response = send_request(admin, "POST", "/announce", body=body)
    assert status == 400
    assert "TargetRecord" in response["error"]
    assert own_target(admin) == ()


def test_document_tells_the_position_in_the_log():
    """Guards against a response that does not show which refused publishes the node has folded."""
    status, body = send_request(make_api(), "GET", "/document", "viewer")
    assert status == 200
    assert (body["version"], body["last_offset"], body["recent_ids"]) == (0, 0, [])
