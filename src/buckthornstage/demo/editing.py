"""Publishes sections as their teams do, and measures how long a version takes to be in force."""

import dataclasses

import msgspec
import trio

from buckthornstage import clock
from buckthornstage.demo import mesh as meshes
from buckthornstage.demo import processes
from buckthornstage.document import publishing, schema

IN_FORCE_MS = 6_000  # I9: an accepted configuration is in force everywhere within this time
WAIT_MS = 30_000  # a later version is still measured and then reported as too late
POLL_MS = 10


@dataclasses.dataclass(frozen=True)
class Convergence:
    """One publish; `times_ms` maps node to the time until its version was in force there."""

    version: int
    times_ms: dict[str, float]

    @property
    def slowest_ms(self) -> float:
        """Time until the version was in force on every node."""
        return max(self.times_ms.values())


class Editor:
    """Edits the document of one run; remembers the offset of each section's last publish."""

    def __init__(self, mesh: meshes.Mesh) -> None:
        self.mesh = mesh
        self.bases: dict[str, int] = {}

    async def reload_base_offsets(self) -> None:
        """Takes the bases from the newest document that a living node has in force.

        Needed after an append whose outcome stayed unknown.
        """
        documents = [await self.mesh.admin(node, "/document") for node in self.mesh.running_nodes]
        newest = max(filter(None, documents), key=lambda document: document["version"])
        self.bases = {name: section["offset"] for name, section in newest["sections"].items()}

    async def append(self, section: str, body: bytes) -> int:
        """Signs and appends one publish as the team that owns the section; returns its offset."""
        team = self.mesh.plan.owner(section)
        record = publishing.build(
            schema.SectionName(section),
            body,
            base=self.bases.get(section, 0),
            team=team,
            author=f"operator of {team}",
            published_at_ms=clock.Clock().wall_ms(),
            key=self.mesh.plan.team_keys[team],
        )
        offset = await publishing.publish(self.mesh.log, record, pause)
        self.bases[section] = offset
        return offset

    async def publish(self, section: str, body: bytes | None = None) -> Convergence:
        """Appends a section (by default the one of the deployment) and waits until it is in force.

        Times count from the moment at which the log confirmed the append.
        """
        offset = await self.append(section, body or self.mesh.plan.section_body(section))
        confirmed = trio.current_time()
        times_ms: dict[str, float] = {}

        async def all_in_force() -> bool:
            versions = await self.mesh.versions()
            elapsed_ms = (trio.current_time() - confirmed) * 1000
            for node, version in versions.items():
                if version >= offset:
                    times_ms.setdefault(node, elapsed_ms)
            return set(times_ms) >= set(versions)

        what = f"version {offset} to be in force on every node"
        await processes.wait_until(all_in_force, WAIT_MS, what, POLL_MS)
        return Convergence(offset, times_ms)


async def pause(duration_ms: int) -> None:
    """Waits between the attempts of a publish."""
    await trio.sleep(duration_ms / 1000)


def with_queue_length(body: bytes, queue_length: int) -> bytes:
    """The limits section with another queue length for all services."""
    limits = schema.decode_section(schema.SectionName.LIMITS, body)
    services = tuple(
        msgspec.structs.replace(service, queue_length=queue_length) for service in limits.services
    )
    return schema.encode_section(schema.Limits(services))
