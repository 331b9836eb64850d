"""Processor time that the quota check adds to a call, at 77 and 750 nodes, without a network.

Plays one node and its lender. "Lease" is a call that finds a token, "ask" one that has to ask: both
nodes' work with encoding and decoding, without sockets and the event loop.
"""

import time

from absl import app

from buckthornstage.link import quota_frames
from buckthornstage.quotas import division, leases, node
from buckthornstage.routing import routes

FLEETS = {77: (26, 26, 25), 750: (108, 107, 107, 107, 107, 107, 107)}
TENANTS = 81
CALLS = 20_000
BEST_OF = 5
BOUNDS = division.Bounds(5, 0.1, 20)
RATE = 1e6


def _nodes(sizes: tuple[int, ...]) -> tuple[node.QuotaNode, node.QuotaNode, list[bytes]]:
    """A node, the lender of its first tenant, and the datagrams that they send."""
    zones = {
        str(zone): frozenset(f"10.{zone}.0.{number}:7640" for number in range(size))
        for zone, size in enumerate(sizes)
    }
    sent: list[bytes] = []
    tenants = [routes.Tenant(f"t{number}", ("k",), 0, RATE, RATE) for number in range(TENANTS)]

    def start(address: str) -> node.QuotaNode:
        started = node.QuotaNode(
            address,
            "0",
            BOUNDS,
            lambda receiver, message: sent.append(quota_frames.encode(message)),
            lambda other: True,
            lambda other: 0,
        )
        started.set_nodes(zones, 0)
        started.set_tenants(tenants, 0)
        return started

    asking = start("10.0.0.5:7640")
    return asking, start(asking.choice.lender(asking.leases["t0"].tenant, 0)), sent


def _call(asking: node.QuotaNode, lender: node.QuotaNode, sent: list[bytes], now_ms: int) -> None:
    lease, verdict = asking.request("t0", now_ms)
    if verdict is leases.Verdict.ASK:
        lease.waiting = 1
        asking.proceed(lease, now_ms)
        lender.handle(quota_frames.decode(sent.pop()), now_ms)
        asking.handle(quota_frames.decode(sent.pop()), now_ms)
        verdict, _ = asking.proceed(lease, now_ms)
        lease.waiting = 0
    assert verdict is leases.Verdict.TAKEN


def _microseconds(sizes: tuple[int, ...], is_asking: bool) -> float:
    """Processor time of one call, the best of some runs."""
    asking, lender, sent = _nodes(sizes)
    lender.ticked_ms = asking.ticked_ms = 1_000
    _call(asking, lender, sent, 1_000)
    sent.clear()
    lease, times = asking.leases["t0"], []
    for _ in range(BEST_OF):
        began = time.process_time()
        for _ in range(CALLS):
            if is_asking:
                lease.tokens, lease.rate = 0, 0.0
            else:
                lease.tokens, lease.expires_ms = CALLS, 2_000
            _call(asking, lender, sent, 1_000)
        times.append(time.process_time() - began)
    return min(times) / CALLS * 1e6


def main(arguments: list[str]) -> None:
    """Prints the times and the ratio of the largest fleet to the smallest."""
    del arguments
    for name, is_asking in (("lease", False), ("ask", True)):
        took = {nodes: _microseconds(sizes, is_asking) for nodes, sizes in FLEETS.items()}
        shown = ", ".join(f"{nodes} nodes {value:.1f} us" for nodes, value in took.items())
        print(f"{name}: {shown}, ratio {took[750] / took[77]:.2f}")


if __name__ == "__main__":
    app.run(main)
