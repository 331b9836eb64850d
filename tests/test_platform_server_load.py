"""Load and pace that a target tells in its responses."""

import pytest
import trio

import platform_mesh
from buckthornstage.http import messages
from buckthornstage.mesh import header_codec
from buckthornstage.platform import call_headers

Load = header_codec.ServerLoad


def notice(*values):
    headers = tuple((b"server-load", value) for value in values)
    return call_headers.target_notice(messages.Response(200, headers)).load


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"3,1,8,140", Load(3, 1, 8, 1.4)),
        (b" 3, 1, 8, 92.5 ", Load(3, 1, 8, 0.925)),
        (b"3,1,8", Load(3, 1, 8)),
        *((value, None) for value in (b"", b"3", b"3,1", b"3,1,8,", b"3,1,8,x", b"3,1,8,nan")),
        *((value, None) for value in (b"3,1,8,-1", b"3,1,8,0", b"3,1,8,1e3", b"3,1,8,140,2")),
        *((value, None) for value in (b"-3,1,8,140", b"a,1,8,140", b"3,1,8,1_0")),
        (b"9" * 5_000 + b",1,8,140", None),
    ],
)
def test_malformed_loads_are_ignored(value, expected):
    # Guards against a header of a target that ends its calls or makes it look busy.
    assert notice(value) == expected


def test_the_pace_reaches_the_egress_and_no_caller(tmp_path):
    # Guards against a figure that only the ingress knows, and one that is passed to callers.
    paces = iter(["100", "100", "bad", "250"])

    async def script(arrival):
        await trio.sleep(0.02)
        return platform_mesh.response(arrival, Server_Load=f"1,0,2,{next(paces)}")

    async def test(mesh, node, target):
        for number in range(4):
            found = await platform_mesh.call(node, f"/read/{number}")
            assert (found.status, found.header(b"server-load")) == (200, None)
        assert node.ingress.queue.pace.pace == 2.5
        assert 100 < node.ingress.state().pace_percent <= 250
        assert node.egress.choice.kinds[platform_mesh.DESK].ratios

    platform_mesh.on_mesh(script, test, tmp_path)


def test_three_figures_change_nothing(tmp_path):
    # Guards against a change for services without the fourth figure.
    def script(arrival):
        return platform_mesh.response(arrival, Server_Load="1,0,2")

    async def test(mesh, node, target):
        assert (await platform_mesh.call(node, "/read/1")).status == 200
        assert not node.ingress.queue.pace.is_known
        assert node.ingress.state().pace_percent == 0
        assert not node.egress.choice.kinds

    platform_mesh.on_mesh(script, test, tmp_path)
