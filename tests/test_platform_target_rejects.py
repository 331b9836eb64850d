"""Target that answers 503 with its mark for calls that it has not run, although it has slots."""

import trio

import loopback
import platform_mesh
from buckthornstage.limits import target_rejections

CALLS = 60


class RejectingTarget(platform_mesh.Target):
    """Target that rejects calls while `rejects` is true, and may tell its pace."""

    def __init__(self, load):
        super().__init__(self.respond)
        self.rejects = True
        self.load = load

    def respond(self, arrival):
        if self.rejects:
            fields = {"Not_Executed": "1", "Server_Load": self.load}
            return platform_mesh.response(arrival, b"", 503, **fields)
        return platform_mesh.response(arrival, Server_Load=self.load)


def test_a_rejecting_target_gets_trials_only_until_it_accepts(tmp_path):
    # Guards against one trip to the target for each call (10,439 of 48,683 arrivals rejected).
    async def main(nursery):
        mesh, target = platform_mesh.Mesh(nursery, tmp_path), RejectingTarget("0,0,2,100")
        await mesh.start_store()
        own = await mesh.start_node("n1", target)
        calling = await mesh.start_node("n2", service=platform_mesh.LIBRARY)
        known = calling.directory.peers
        await platform_mesh.until(lambda: any(peer.is_open for peer in known.values()))
        for number in range(CALLS):
            assert (await platform_mesh.handle(calling, f"/pay/{number}", "POST")).status == 503
        assert len(target.arrivals) < target_rejections.CLOSE_AFTER + 15
        assert own.ingress.state().is_rejecting
        assert any(peer.state.is_rejecting for peer in known.values() if peer.state)
        target.rejects = False
        with trio.fail_after(1.0):
            while (await platform_mesh.handle(calling, "/pay/again", "POST")).status != 200:
                await trio.sleep(0.02)
        assert not own.ingress.state().is_rejecting
        states = [line["is_rejecting"] for line in mesh.events("target_rejects")]
        assert states == [True, False]

    loopback.run(main)


def test_a_target_that_shares_no_machine_is_tried_as_before(tmp_path):
    # Guards against trials only in deployments without tenants and without paces of targets.
    async def main(nursery):
        mesh, target = platform_mesh.Mesh(nursery, tmp_path), RejectingTarget("0,0,2")
        await mesh.start_store()
        own = await mesh.start_node("n1", target)
        await platform_mesh.until(lambda: own.is_ready)
        for number in range(CALLS):
            await platform_mesh.handle(own, f"/pay/{number}", "POST")
        assert len(target.arrivals) == CALLS
        assert not own.ingress.state().is_rejecting

    loopback.run(main)


def test_a_request_that_the_target_does_not_take_closes_nothing(tmp_path):
    # Guards against callers of wrong requests (400, not run) who close a target for the others.
    def script(arrival):
        return platform_mesh.response(arrival, b"", 400, Not_Executed="1")

    async def test(mesh, node, target):
        for number in range(3 * target_rejections.CLOSE_AFTER):
            await platform_mesh.handle(node, f"/pay/{number}", "POST")
        assert not node.ingress.state().is_rejecting

    platform_mesh.on_mesh(script, test, tmp_path)
