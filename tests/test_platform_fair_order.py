"""The order of calls at a target with tenants, from the caller's key to the target."""

import msgspec
import trio

import loopback
import platform_mesh
from buckthornstage.mesh import ingress

TENANTS = [
    {"name": "usual", "api_keys": ["k-usual"], "priority": 1, "rate_per_s": 5},
    {"name": "urgent", "api_keys": ["k-urgent"], "priority": 0, "rate_per_s": 5},
]


def record(version, tenants):
    """Encoded configuration record with tenants."""
    document = msgspec.json.decode(platform_mesh.operator_record(version))
    return msgspec.json.encode({**document, "tenants": tenants})


def test_a_waiting_call_of_an_urgent_tenant_starts_before_earlier_ones_of_another(tmp_path):
    """Pattern: full target. Guards against a tenant's priority that does not reach the queue, and
    against an order that stays when the tenants are withdrawn."""
    released = trio.Event()

    async def script(arrival):
        await released.wait()
        return platform_mesh.response(arrival)

    async def send(node, path, name):
        await platform_mesh.call(node, path, authorization=f"Token k-{name}")

    async def main(nursery):
        mesh = platform_mesh.Mesh(nursery, tmp_path)
        mesh.store.put("keyed.op", "config", record(1, TENANTS))
        await mesh.start_store(version=0)
        target = platform_mesh.Target(script)
        node = await mesh.start_node("n1", target)
        await platform_mesh.until(lambda: node.is_ready)
        queue = node.ingress.queue
        queue.set_max_slots(1)
        names = ("usual", "usual", "usual", "urgent")
        async with trio.open_nursery() as calls:
            for number, name in enumerate(names):
                calls.start_soon(send, node, f"/read/{number}", name)
                count = number + 1
                await platform_mesh.until(
                    lambda count=count: len(queue.running) + len(queue.waiting) == count
                )
            assert node.ingress.state().ahead == ((1, 3),)
            released.set()
        assert target.arrivals[1].path == "/read/3"
        mesh.store.put("keyed.op", "config", record(2, []))
        await platform_mesh.until_active([node], 2)
        assert not queue.fair_order.is_enabled

    loopback.run(main)


def test_the_reason_of_a_call_that_others_pass_is_told(tmp_path):
    """Guards against a call of a tenant above its share that is sent on as if it would pass the
    waiting calls of others."""

    async def test(mesh, node, target):
        queue = node.ingress.queue
        queue.fair_order.set_tenants({"a": 1.0})
        sort = queue.fair_order.sort

        def mark(waiting, *times):
            for ticket in waiting:
                ticket.level = 3.0
            return sort(waiting, *times)

        queue.fair_order.sort = mark
        queue.set_max_slots(0)
        refusals = []
        refuse = node.ingress.refused
        node.ingress.refused = lambda call, reason: refusals.append(reason) or refuse(call, reason)
        response = await platform_mesh.call(node, "/read/1", remaining_ms=400)
        assert (response.status, refusals) == (503, [ingress.ABOVE_SHARE])

    platform_mesh.on_mesh(platform_mesh.response, test, tmp_path)
