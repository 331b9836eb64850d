"""Calls through real nodes on loopback against targets that misbehave."""

import functools
import time

import pytest
import trio

import loopback
import platform_mesh
from buckthornstage.link import frames

OK = 200
SOME_BODY = b"x" * 200_000
MAX_PAUSED_CALLS = 5


def test_a_call_reaches_the_target_unchanged_and_its_response_comes_back_whole(tmp_path):
    """Guards against changes to paths, bodies, ids and the header that marks a target's response,
    and against a spoofed origin."""

    async def test(mesh, node, target):
        found = await platform_mesh.call(
            node, "/pay/7?x=1", "POST", b"body", caller_service="forged", expect_instance="forged"
        )
        assert (found.status, found.body) == (OK, b"done")
        assert found.header(b"response-seal") == "seal"
        arrival = target.arrivals[0]
        assert (arrival.method, arrival.path, arrival.body) == ("POST", "/pay/7?x=1", b"body")
        assert arrival.headers["caller-service"] == platform_mesh.DESK
        assert arrival.headers["expect-instance"] == target.instance
        assert 1_000 < int(arrival.headers["timeout-remaining"]) <= 1_500
        assert arrival.call_id == found.header(b"attempt-id")

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)


def test_a_call_crosses_to_the_node_of_another_service_with_a_long_response(tmp_path):
    """Guards against a truncated or mixed body over the link, which carries it in chunks."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        target = platform_mesh.Target(functools.partial(platform_mesh.response, body=SOME_BODY))
        await mesh.start_node("n1", target)
        caller = await mesh.start_node("n2", service=platform_mesh.LIBRARY)
        await platform_mesh.until(lambda: _is_known(caller, "open"))
        found = await platform_mesh.call(caller, "/pack/1")
        assert (found.status, found.body) == (OK, SOME_BODY)
        assert target.arrivals[0].headers["caller-service"] == platform_mesh.LIBRARY

    loopback.run(main)


def _is_known(node, status):
    peers = node.directory.peers.values()
    return any(peer.state and peer.state.status.name.lower() == status for peer in peers)


@pytest.mark.parametrize(
    ("path", "wanted"), [("/read/1", OK), ("/pay/1", 502)], ids=["safe", "unsafe"]
)
def test_a_lost_response_is_retried_only_for_idempotent_calls(path, wanted, tmp_path):
    """Guards against a payment that runs twice, and a read that fails without a retry."""
    seen = []

    def script(arrival):
        seen.append(arrival)
        return None if len(seen) == 1 else platform_mesh.response(arrival)

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        nodes = [await mesh.start_node(f"n{i}", platform_mesh.Target(script)) for i in (1, 2)]
        await platform_mesh.until(lambda: all(_is_known(node, "open") for node in nodes))
        found = await platform_mesh.call(nodes[0], path, "POST" if "pay" in path else "GET")
        assert found.status == wanted
        assert len(seen) == (2 if wanted == OK else 1)

    loopback.run(main)


def test_an_unsafe_call_that_its_target_did_not_run_goes_to_another(tmp_path):
    """Guards against a refusal although the proof of "not run" allows a retry."""
    seen = []

    def script(arrival):
        seen.append(arrival)
        if len(seen) == 1:
            return platform_mesh.response(arrival, status=503, Not_Executed="1", Response_Seal=None)
        return platform_mesh.response(arrival)

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        nodes = [await mesh.start_node(f"n{i}", platform_mesh.Target(script)) for i in (1, 2)]
        await platform_mesh.until(lambda: all(_is_known(node, "open") for node in nodes))
        found = await platform_mesh.call(nodes[0], "/pay/1", "POST", b"x")
        assert (found.status, len(seen)) == (OK, 2)
        assert seen[0].call_id == seen[1].call_id

    loopback.run(main)


@pytest.mark.parametrize(
    "malformed",
    [
        lambda arrival: platform_mesh.response(arrival, Content_Length=500),
        lambda arrival: platform_mesh.response(arrival, Response_Seal=None),
        lambda arrival: platform_mesh.response(arrival, Content_Encoding="gzip"),
        lambda arrival: b"not http at all\r\n\r\n",
    ],
    ids=["truncated", "without_mark", "encoded", "garbage"],
)
def test_malformed_responses_never_reach_a_caller_as_success(malformed, tmp_path):
    """Guards against truncated or foreign responses that look complete."""

    async def script(arrival):
        await arrival.stream.send_all(malformed(arrival))

    async def test(mesh, node, target):
        found = await platform_mesh.call(node, "/pay/1", "POST", b"x")
        assert found.status == 502
        assert found.header(b"response-seal") is None
        assert mesh.events("failed")

    platform_mesh.on_mesh(script, test, tmp_path)


def test_a_response_that_ends_with_its_connection_is_complete(tmp_path):
    """Guards against the loss of responses without a length."""

    async def script(arrival):
        await arrival.stream.send_all(platform_mesh.response(arrival, Content_Length=None))

    async def test(mesh, node, target):
        found = await platform_mesh.call(node, "/read/1")
        assert (found.status, found.body) == (OK, b"done")

    platform_mesh.on_mesh(script, test, tmp_path)


def test_a_second_response_to_an_earlier_call_is_discarded(tmp_path):
    """Guards against a stray response that is taken for that of the next call."""
    first = []

    def script(arrival):
        if not first:
            first.append(arrival)
            return platform_mesh.response(arrival, body=b"first")
        stray = platform_mesh.response(first[0], body=b"stray")
        return stray + platform_mesh.response(arrival, body=b"second")

    async def test(mesh, node, target):
        assert (await platform_mesh.call(node, "/read/1")).body == b"first"
        found = await platform_mesh.call(node, "/pay/2", "POST")
        assert (found.status, found.body) == (OK, b"second")
        assert mesh.events("stray_answer")
        assert len(target.arrivals) == 2

    platform_mesh.on_mesh(script, test, tmp_path)


def test_extra_bytes_after_a_response_close_the_connection(tmp_path):
    """Guards against a duplicate response that is taken for that of the next call."""

    def script(arrival):
        whole = platform_mesh.response(arrival, body=arrival.path.encode())
        return whole + whole

    async def test(mesh, node, target):
        for number in range(3):
            path = f"/read/{number}"
            assert (await platform_mesh.call(node, path)).body == path.encode()

    platform_mesh.on_mesh(script, test, tmp_path)


def test_a_targets_failure_is_delivered_as_it_is(tmp_path):
    """Guards against a target's failure response that is replaced, or retried if unsafe."""

    async def test(mesh, node, target):
        found = await platform_mesh.call(node, "/pay/1", "POST")
        assert (found.status, found.header(b"response-seal")) == (500, "seal")
        assert len(target.arrivals) == 1

    platform_mesh.on_mesh(functools.partial(platform_mesh.response, status=500), test, tmp_path)


def test_a_target_that_fails_at_once_does_not_look_fast(tmp_path):
    """Pattern: grey replica. Guards against ingresses that attract calls by failing them
    quickly."""

    async def script(arrival):
        if arrival.path == "/pay/good":
            await trio.sleep(0.2)
            return platform_mesh.response(arrival)
        return platform_mesh.response(arrival, status=500)

    async def test(mesh, node, target):
        assert (await platform_mesh.call(node, "/pay/good", "POST")).status == OK
        usual_ms = node.ingress.queue.average_ms
        for number in range(20):
            await platform_mesh.call(node, f"/pay/{number}", "POST")
        assert node.ingress.queue.average_ms == usual_ms
        assert node.ingress.success_rate < 0.5

    platform_mesh.on_mesh(script, test, tmp_path)


def test_a_client_that_disconnects_ends_the_run_at_the_target(tmp_path):
    """Pattern: clients that leave. Guards against slots held by abandoned calls."""

    async def script(arrival):
        await arrival.stream.receive_some(1)

    async def test(mesh, node, target):
        with trio.move_on_after(0.3):
            await platform_mesh.call(node, "/read/1")
        await platform_mesh.until(lambda: target.closed == 1)
        assert node.ingress.state().running == 0

    platform_mesh.on_mesh(script, test, tmp_path)


def on_short_route(script, test, tmp_path):
    """Like `platform_mesh.on_mesh`, with 0.3 s for calls below /pay/."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        paths = [platform_mesh.path_of("/pay/", "unsafe", timeout_s=0.3, slo_latency_s=0.2)]
        mesh.store.put("keyed.op", "config", platform_mesh.operator_record(1, paths))
        await mesh.start_store(version=0)
        target = platform_mesh.Target(script)
        node = await mesh.start_node("n1", target)
        await platform_mesh.until(lambda: node.is_ready)
        await test(mesh, node, target)

    loopback.run(main)


def pause_after_admission(node, pause_s):
    """The process stands still after each admission of a call."""
    admit = node.egress._admit

    def admit_and_pause(*arguments):
        pending = admit(*arguments)
        time.sleep(pause_s)
        return pending

    node.egress._admit = admit_and_pause


def test_a_call_gets_a_response_at_its_routes_timeout(tmp_path):
    """Guards against a caller that waits longer than the operator allows."""

    async def script(arrival):
        await trio.sleep_forever()

    async def test(mesh, node, target):
        # A pause of the process can use up a call's time before the target has the call.
        for _ in range(MAX_PAUSED_CALLS):
            with trio.fail_after(2):
                found = await platform_mesh.call(node, "/pay/1", "POST", remaining_ms=30_000)
            if target.arrivals:
                break
            assert found.status in (503, 504)
        assert (found.status, len(target.arrivals)) == (504, 1)

    on_short_route(script, test, tmp_path)


def test_a_call_that_a_pause_leaves_no_time_is_refused_as_not_run(tmp_path):
    # Guards against "may have run" for a call that nobody has sent: the process stood still for the
    # call's whole time between its arrival and the choice of an ingress.
    async def test(mesh, node, target):
        pause_after_admission(node, 0.32)
        found = await platform_mesh.call(node, "/pay/1", "POST", remaining_ms=30_000)
        assert (found.status, target.arrivals) == (503, [])

    on_short_route(platform_mesh.response, test, tmp_path)


def test_a_call_of_this_node_loses_the_time_of_a_pause_only_once(tmp_path):
    # Guards against a refusal of a call that has time left: the pause was subtracted when the
    # egress read the call, and again at the ingress of the same node.
    async def test(mesh, node, target):
        pause_after_admission(node, 0.7)
        found = await platform_mesh.call(node, "/pay/1", "POST")
        assert (found.status, len(target.arrivals)) == (OK, 1)

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)


def test_malformed_frames_close_only_their_connection(tmp_path):
    """Guards against a malformed frame that affects the calls of other connections."""

    async def test(mesh, node, target):
        for payload in (b"\xff" * 64, b"\x00\x00\x00\x04abcd"):
            stream = await loopback.open_raw(node.settings.link_address)
            await stream.send_all(payload)
            assert await loopback.read_all(stream) == b""
        await platform_mesh.until(lambda: len(mesh.events("bad_bytes")) == 2)
        assert (await platform_mesh.call(node, "/read/1")).status == OK

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)


def test_unknown_routes_are_refused_and_a_node_without_version_says_so(tmp_path):
    """Guards against 404 from a node that has no configuration yet."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store(version=0)
        node = await mesh.start_node("n1", platform_mesh.Target())
        assert (await platform_mesh.call(node, "/read/1")).status == 503
        mesh.store.put("keyed.op", "config", platform_mesh.operator_record(1))
        await platform_mesh.until(lambda: node.is_ready)
        assert (await platform_mesh.call(node, "/none/1")).status == 404
        assert (await platform_mesh.call(node, "/read/1", host="other.example")).status == 404

    loopback.run(main)


def test_a_call_whose_time_ran_out_in_the_queue_is_refused_as_not_run(tmp_path):
    """Guards against hunt finding guarumo trouble-2, seed 513588488697: the node crashed.

    The remaining time was negative when the call was admitted; the error ended the process.
    """

    async def test(mesh, node, target):
        spent = frames.Call(
            "late", "GET", "/read/1", (), b"", "desk", platform_mesh.DESK, "r", 1, True, 0, 0, -5
        )
        outcome = await node.ingress.run(spent)
        assert isinstance(outcome, frames.Refused)
        assert not target.arrivals
        assert not node.ingress.queue.running

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)


def test_an_unexpected_error_in_one_call_does_not_end_the_node(tmp_path):
    """Guards against an error in one call that fails all calls of its node, or leaves its own
    caller without a response."""

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        await mesh.start_store()
        target = platform_mesh.Target()
        other_node = await mesh.start_node("n1", target)
        caller = await mesh.start_node("n2", service=platform_mesh.LIBRARY)
        await platform_mesh.until(lambda: _is_known(caller, "open"))
        acquire, other_node.ingress.pool.acquire = other_node.ingress.pool.acquire, None
        assert (await platform_mesh.call(caller, "/pay/1", "POST")).status == 502
        other_node.ingress.pool.acquire = acquire
        assert (await platform_mesh.call(caller, "/pay/2", "POST")).status == OK
        assert mesh.events("internal_error")

    loopback.run(main)
