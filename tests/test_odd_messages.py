"""Messages and records of the first deployment with odd values: nested deeply, numbers too large.

Guards against a daemon that ends, as it does at each error that nobody catches.
"""

import hashlib
import hmac

import msgspec
import pytest
import test_admin_api

import loopback
from buckthornstage import errors
from buckthornstage.cli import explain_commands
from buckthornstage.dissemination import contacts
from buckthornstage.history import batches, publications
from buckthornstage.http import messages
from buckthornstage.idempotency import claims
from buckthornstage.platform import log_client
from buckthornstage.protocol import codec

SECRET = b"s" * 32
DEEP = b"\x91" * 5_000 + b"\xc0"
DEEP_JSON = b"[" * 5_000 + b"]" * 5_000
DEEP_MAP = b"\x81" + msgspec.msgpack.encode("more") + DEEP
"""A record with a field of another release, in msgpack."""


def signed(body):
    return hmac.digest(SECRET, body, hashlib.sha256)[: codec.MAC_BYTES] + body


def test_a_message_that_is_nested_deeply_is_refused():
    body = b"\x97" + b"".join(map(msgspec.msgpack.encode, ("n", 1, "z", "a", 1, 1))) + DEEP
    with pytest.raises(errors.ProtocolError):
        codec.decode(signed(body), SECRET)


def test_a_history_record_that_is_nested_deeply_is_refused():
    with pytest.raises(errors.ProtocolError):
        batches.decode(DEEP_MAP)


def test_a_claim_record_that_is_nested_deeply_is_ignored():
    """Guards against a daemon that any writer of the log can end: claims carry no MAC."""
    header = msgspec.msgpack.encode({"format": 1})
    assert claims.decode(DEEP_MAP) is None
    assert claims.decode(b"\x82" + header[1:] + DEEP_MAP[1:]) is None


def test_a_contact_record_that_is_nested_deeply_is_ignored():
    assert contacts.decode(signed(DEEP_MAP), SECRET) is None


def test_a_detail_that_is_nested_deeply_was_not_written_by_a_publish():
    assert publications.decode('{"more":' + DEEP_JSON.decode() + "}") is None


@pytest.mark.parametrize(
    "body",
    [
        b'{"more":%s}' % DEEP_JSON,
        b'{"earliest":1,"head":1,"records":[{"offset":1,"payload":"\xc3\xa4"}]}',
        b'{"earliest":1,"head":1%s,"records":[]}' % (b"0" * 30),
        b'{"earliest":-1,"head":1,"records":[]}',
        b'{"offset":1%s}' % (b"0" * 30),
    ],
)
def test_an_odd_response_of_the_log_counts_as_none(body):
    """Guards against a reader of the log that ends instead of reading again."""

    async def test(nursery):
        async def handle(request):
            return messages.Response(200, (), body)

        log = log_client.LogClient(f"http://{await loopback.listen(nursery, handle)}")
        with pytest.raises(errors.LogUnavailableError):
            await log.read("config", 1, 1, 0)
        with pytest.raises(errors.LogResponseLostError):
            await log.append("config", b"x")

    loopback.run(test)


def test_a_log_line_that_is_nested_deeply_hides_no_other():
    """Guards against a time line that one odd line of a log makes impossible."""
    line = '{"at":1,"node":"n","event":"e","more":%s}'
    assert explain_commands._event_of(line % DEEP_JSON.decode()) is None
    assert explain_commands._event_of(line % "1")


@pytest.mark.parametrize("port", ["99999", "9" * 5_000, "x"])
def test_a_port_of_the_log_out_of_range_is_a_settings_error(port):
    with pytest.raises(errors.SettingsError):
        log_client.LogClient(f"http://10.0.0.1:{port}")


@pytest.mark.parametrize(
    "body",
    [
        test_admin_api.announcement()[:-1] + b',"more":' + DEEP_JSON + b"}",
        test_admin_api.announcement(incarnation=10**30),
        test_admin_api.announcement(started_at_ms=2**64),
        test_admin_api.announcement(slots=10**30),
        test_admin_api.announcement(slots=0),
        test_admin_api.announcement(connections=-1),
        test_admin_api.announcement(address="10.0.0.1:99999"),
        test_admin_api.announcement(address="10.0.0.1"),
        test_admin_api.announcement(address="\0:1"),
    ],
)
def test_an_odd_announcement_is_refused(body):
    """Guards against a target that no message can carry, or that no call can reach."""
    admin = test_admin_api.make_api()
    assert test_admin_api.send_request(admin, "POST", "/announce", body=body)[0] == 400
    assert admin.announced == {}
