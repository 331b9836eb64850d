"""Gossip neighbours and log readers of a node, computed from the member table."""

import random

from buckthornstage.dissemination import neighbours, readers
from buckthornstage.membership import own, records, table
from buckthornstage.settings import node_settings


class Topology:
    """Cached views of the member table, recomputed when the table changes."""

    def __init__(
        self,
        member: own.OwnMember,
        members: table.MemberTable,
        settings: node_settings.NodeSettings,
    ) -> None:
        self.member = member
        self.members = members
        self.settings = settings
        self._revision = -1
        self._by_rank: list[str] = []
        self._rank_of: dict[str, int] = {}
        self._peers: list[str] = []
        self._other_zones: list[str] = []
        self._neighbours: tuple[str, ...] = ()

    @property
    def node(self) -> str:
        """Name of this node."""
        return self.member.record.node

    @property
    def zone(self) -> str:
        """Zone of this node."""
        return self.member.record.zone

    def _refresh(self) -> None:
        if self._revision == self.members.revision:
            return
        self._revision = self.members.revision
        alive = {record.node for record in self.members.alive(self.zone)}
        self._by_rank = readers.ordered(self.zone, alive or {self.node})
        self._rank_of = {node: rank for rank, node in enumerate(self._by_rank)}
        self._peers = [node for node in self._by_rank if node != self.node]
        self._other_zones = [zone for zone in self.members.zones() if zone != self.zone]
        names = [record.node for record in self.members.in_zone(self.zone)]
        self._neighbours = neighbours.successors(self.node, names, self.settings.push_fanout)

    @property
    def by_rank(self) -> list[str]:
        """Alive members of the zone by reader rank, without leaving nodes."""
        self._refresh()
        return self._by_rank

    @property
    def rank_of(self) -> dict[str, int]:
        """Reader rank of each alive member of the zone."""
        self._refresh()
        return self._rank_of

    def own_rank(self) -> int:
        """Reader rank of this node; a leaving node ranks last."""
        rank_of = self.rank_of
        return rank_of.get(self.node, len(rank_of))

    def peers_by_rank(self) -> list[str]:
        """Alive members of the zone except this node, by reader rank."""
        self._refresh()
        return self._peers

    def neighbours(self) -> list[str]:
        """Control addresses of the ring successors of this node."""
        self._refresh()
        return self.addresses(self._neighbours)

    def addresses(self, nodes) -> list[str]:
        """Control addresses of those nodes that are in the member table."""
        known = (self.members.get(node) for node in nodes)
        return [record.control_address for record in known if record is not None]

    def other_zones(self) -> list[str]:
        """Names of the other zones that have members."""
        self._refresh()
        return self._other_zones

    def reader_of(self, zone: str) -> str | None:
        """Control address of the reader in another zone that this reader is paired with by rank."""
        candidates = self.members.alive(zone) or self.members.in_zone(zone)
        if not candidates:
            return None
        ranked = readers.ordered(zone, (record.node for record in candidates))
        index = self.own_rank() % min(self.settings.log_readers, len(ranked))
        return self.members.get(ranked[index]).control_address

    def random_member(self, zone: str, rng: random.Random) -> str | None:
        """Control address of a random member of a zone that is not dead."""
        candidates = self.members.in_zone(zone)
        return rng.choice(candidates).control_address if candidates else None

    def unknown_addresses(self, contacts: list[str]) -> list[str]:
        """Addresses to try for members that the table lacks or lists as dead.

        These are dead members of the zone, which may have been cut off, and those seeds and
        contacts from the log that belong to no member that is not dead.
        """
        dead = [r.control_address for r in self.members.dead() if r.zone == self.zone]
        live_addresses = {
            record.control_address
            for record in self.members.records.values()
            if record.status is not records.MemberStatus.DEAD
        }
        live_addresses.add(self.settings.control_address)
        return sorted({*dead, *self.settings.seeds, *contacts} - live_addresses)
