"""At-most-once execution in a node: claims over the control transport, and forwarding."""

import trio

from buckthornstage import errors
from buckthornstage.http import client, messages
from buckthornstage.idempotency import claim_service, claims, endpoint, keys, outcomes, runner
from buckthornstage.membership import records
from buckthornstage.node import context
from buckthornstage.protocol import messages as node_messages

FORWARD_TIMEOUT_MS = 120_000  # upper bound; the runner stops waiting at the call's deadline
FOLLOW_INTERVAL_MS = 1_000
FOLLOWED_RANKS = 2  # the batcher and its fallback when it does not respond
POLL_MS = 20  # between checks of whether executions ended, before exit


class KeyedCalls:
    """The `at_most_once` implementation of the call path, and `POST /buckthornstage/keys`."""

    def __init__(self, node: context.NodeContext) -> None:
        self.node = node
        settings = node.settings
        self.secret = settings.mesh_secret.encode()
        self.service = claim_service.ClaimService(
            settings.node,
            node.core.incarnation,
            settings.control_address,
            node.log_client,
            node.clock,
            self._batcher,
            node.transport.send,
            partitions=settings.claim_partitions,
            batch_ms=settings.claim_batch_ms,
            timeout_ms=settings.claim_timeout_ms,
            key_window_ms=settings.key_window_ms,
            rng=node.random,
        )
        self.nursery: trio.Nursery | None = None
        self.runners: list[runner.AtMostOnce] = []

    def start(self, nursery: trio.Nursery) -> None:
        """Starts the claim service; executions run in `nursery` and outlive their requests."""
        self.nursery = nursery
        nursery.start_soon(self.service.run)
        nursery.start_soon(self._follow_partitions)

    async def run(self, key_text: str, request, route, execute) -> messages.Response:
        """Executes a call with an idempotency key (see `runner.AtMostOnce.run`)."""
        return await self._runner().run(key_text, request, route, execute)

    async def handle_or_proxy(self, request: messages.Request, proxy_handler) -> messages.Response:
        """Issues a key for a request to `endpoint.PATH`; passes other requests to the proxy."""
        if request.target.partition("?")[0] != endpoint.PATH:
            return await proxy_handler(request)
        current = self._runner()
        issuer = keys.KeyIssuer(current.owner.node, current.owner.incarnation, self.secret)
        window_ms = self.node.settings.key_window_ms
        return endpoint.issue_key(request, issuer, current.wall_ms(), window_ms)

    def on_message(self, envelope: node_messages.Envelope) -> None:
        """Handles a ClaimRequest or ClaimVerdict."""
        self.service.on_message(envelope.address, envelope.message)

    async def drain(self, timeout_ms: int) -> None:
        """Waits at most `timeout_ms` for executions that outlived their requests."""
        with trio.move_on_after(timeout_ms / 1000):
            while any(current.executions for current in self.runners):
                await trio.sleep(POLL_MS / 1000)

    def _runner(self) -> runner.AtMostOnce:
        """Returns the runner of the current incarnation.

        A raised incarnation gets a runner with an empty table: the owner of the previous one's
        keys counts as lost, so no other incarnation ever executes them.
        """
        incarnation = self.node.core.incarnation
        if not self.runners or self.runners[-1].owner.incarnation != incarnation:
            settings = self.node.settings
            self.service.incarnation = incarnation
            outcome_table = outcomes.OutcomeTable(
                outcome_ms=settings.outcome_ms, key_window_ms=settings.key_window_ms
            )
            self.runners.append(
                runner.AtMostOnce(
                    settings.node,
                    incarnation,
                    self.secret,
                    self.node.clock,
                    outcome_table,
                    self.nursery,
                    self.service.claim,
                    self._forward,
                )
            )
        return self.runners[-1]

    async def _forward(
        self, owner_node: str, incarnation: int, request: messages.Request
    ) -> messages.Response:
        record = self.node.core.members.get(owner_node)
        is_gone = record is not None and (
            record.incarnation > incarnation or record.status is records.MemberStatus.DEAD
        )
        if is_gone:
            detail = f"incarnation {incarnation} of {owner_node}"
            raise errors.CallError(errors.ErrorKind.OWNER_LOST, detail)
        if record is None:
            detail = f"{owner_node} is not in the member table"
            raise errors.CallError(errors.ErrorKind.OWNER_UNREACHABLE, detail)
        return await client.fetch(record.call_address, request, FORWARD_TIMEOUT_MS)

    def _zone_nodes(self) -> list[str]:
        settings = self.node.settings
        alive = self.node.core.members.alive(settings.zone)
        return sorted({settings.node, *(record.node for record in alive)})

    def _batcher(self, partition: int, rank: int) -> str | None:
        """Control address of the batcher of a partition by rank; None beyond the last rank."""
        batchers = claims.batchers_of(partition, self._zone_nodes())
        if rank >= len(batchers):
            return None
        if batchers[rank] == self.node.settings.node:
            return self.node.settings.control_address
        return self.node.core.members.get(batchers[rank]).control_address

    async def _follow_partitions(self) -> None:
        """Follows the partitions for which this node is the batcher or the first fallback.

        This keeps the claims of these partitions up to date in memory.
        """
        while True:
            nodes = self._zone_nodes()
            own = self.node.settings.node
            self.service.follow(
                [
                    partition
                    for partition in range(self.node.settings.claim_partitions)
                    if own in claims.batchers_of(partition, nodes)[:FOLLOWED_RANKS]
                ]
            )
            await trio.sleep(FOLLOW_INTERVAL_MS / 1000)
