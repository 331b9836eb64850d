"""A running mesh: platform stand-in, nodes and backend servers of one deployment."""

import functools
import json
import pathlib
import signal

import trio

from buckthornstage.demo import deployment, processes
from buckthornstage.document import schema
from buckthornstage.http import client, messages
from buckthornstage.platform import log_client

LOG_PROCESS = "platform"
START_MS = 30_000  # many interpreters start at once on a shared machine
REQUEST_MS = 2_000
BACKEND_LEAVE_MS = 4_000  # longer than the 3 s in which every node learns of a leaving server


class Mesh:
    """Starts, stops and questions the processes of a deployment."""

    def __init__(self, plan: deployment.Deployment, running: processes.Processes) -> None:
        self.plan = plan
        self.processes = running
        self.log = log_client.LogClient(plan.log_url)
        self.stopped_nodes: set[str] = set()

    @property
    def record_path(self) -> pathlib.Path:
        """File in which all backend servers record what they ran."""
        return self.plan.run_directory / "runs.jsonl"

    @property
    def running_nodes(self) -> list[deployment.NodePlan]:
        """VMs that were not stopped or killed."""
        return [node for node in self.plan.nodes if node.node not in self.stopped_nodes]

    def call_addresses(self) -> tuple[str, ...]:
        """Call addresses of the living nodes."""
        return tuple(node.call_address for node in self.running_nodes)

    def backend_addresses(self, path: str) -> tuple[str, ...]:
        """Addresses of the living backend servers that serve `path`."""
        service = self.service_of(path)
        return tuple(node.backend_address for node in self.running_nodes if node.service == service)

    @functools.lru_cache(maxsize=64)  # noqa: B019 - a mesh lives as long as its process
    def service_of(self, path: str) -> str:
        """Service of the longest matching prefix in the routing section."""
        body = self.plan.section_body(schema.SectionName.ROUTING)
        routes = schema.decode_section(schema.SectionName.ROUTING, body).routes
        matching = (route for route in routes if path.startswith(route.prefix))
        return max(matching, key=lambda route: len(route.prefix)).service

    def start_log(self, *arguments: str) -> None:
        """Starts the platform stand-in."""
        module = "buckthornstage.standins.log_server"
        self.processes.start(LOG_PROCESS, module, f"--address={self.plan.log_address}", *arguments)

    def start_node(self, node: deployment.NodePlan) -> None:
        """Starts the daemon of a VM."""
        module = "buckthornstage.node.main"
        self.processes.start(node.node, module, f"--settings={node.settings_path}")

    def start_backend(self, node: deployment.NodePlan) -> None:
        """Starts the backend server of a VM."""
        service = self.plan.topology.services[node.service]
        artefacts = [f"--artefacts={path}={size}" for path, size in service.artefacts.items()]
        self.processes.start(
            backend_name(node),
            "buckthornstage.standins.backend",
            f"--address={node.backend_address}",
            f"--node={node.admin_address}",
            f"--service={node.service}",
            f"--slots={service.slots}",
            f"--connections={service.connections}",
            f"--service_time_ms={service.service_time_ms}",
            f"--cold_start_ms={service.cold_start_ms}",
            f"--leave_ms={BACKEND_LEAVE_MS}",
            f"--record_file={self.record_path}",
            *artefacts,
        )

    async def start_all(self, *log_arguments: str) -> None:
        """Starts everything and waits until every node is ready."""
        self.start_log(*log_arguments)
        await processes.wait_until(self._log_responds, START_MS, "the platform stand-in")
        for node in self.plan.nodes:
            self.start_node(node)
            self.start_backend(node)
        await self.wait_ready(self.plan.nodes)

    async def wait_ready(self, nodes, timeout_ms: int = START_MS) -> None:
        """Waits until these nodes report that they are ready."""
        for node in nodes:

            async def is_ready(node=node) -> bool:
                self.check_running(node)
                status = await self.status(node)
                return bool(status and status.get("ready"))

            await processes.wait_until(is_ready, timeout_ms, f"{node.node} to be ready")

    def check_running(self, node: deployment.NodePlan) -> None:
        """Raises ConditionError with the end of its log when the daemon of a VM has ended."""
        status = self.processes.exit_status(node.node)
        if status is not None:
            tail = self.processes.log_tail(node.node)
            raise processes.ConditionError(f"{node.node} ended with status {status}:\n{tail}")

    async def _log_responds(self) -> bool:
        return await self.request(self.plan.log_address, "GET", "/record") is not None

    async def kill_vm(self, *nodes: deployment.NodePlan) -> None:
        """Ends nodes and backend servers of VMs by SIGKILL, all at once."""
        names = [name for node in nodes for name in (node.node, backend_name(node))]
        self.stopped_nodes.update(node.node for node in nodes)
        for name in names:
            self.processes.signal(name, signal.SIGKILL)
        for name in names:
            await self.processes.wait(name, processes.KILL_MS)

    async def stop_vm(self, node: deployment.NodePlan, timeout_ms: int = START_MS) -> list[int]:
        """Stops node and backend server gracefully; returns both exit statuses.

        The backend server leaves first, because its announcement goes to its node.
        """
        self.processes.signal(backend_name(node), signal.SIGTERM)
        statuses = [await self.processes.wait(backend_name(node), timeout_ms)]
        self.processes.signal(node.node, signal.SIGTERM)
        statuses.append(await self.processes.wait(node.node, timeout_ms))
        self.stopped_nodes.add(node.node)
        return statuses

    def restart_vm(self, node: deployment.NodePlan) -> None:
        """Starts a stopped or killed VM again at the same addresses."""
        self.start_node(node)
        self.start_backend(node)
        self.stopped_nodes.discard(node.node)

    async def status(self, node: deployment.NodePlan) -> dict | None:
        """`GET /status` of a node, or None when it does not answer."""
        return await self.admin(node, "/status")

    async def admin(self, node: deployment.NodePlan, path: str) -> dict | None:
        """JSON of an administration request, or None without a response of status 200."""
        headers = ((b"authorization", f"Bearer {self.plan.read_only_token}".encode("ascii")),)
        return await self.request(node.admin_address, "GET", path, headers)

    async def versions(self) -> dict[str, int]:
        """Version in force on each living node; -1 without a response."""
        result: dict[str, int] = {}

        async def ask(node: deployment.NodePlan) -> None:
            status = await self.status(node)
            result[node.node] = status["version"] if status else -1

        async with trio.open_nursery() as nursery:
            for node in self.running_nodes:
                nursery.start_soon(ask, node)
        return result

    async def set_log_faults(self, **faults: object) -> None:
        """Switches faults of the platform stand-in."""
        await self.request(
            self.plan.log_address, "POST", "/faults", body=json.dumps(faults).encode("ascii")
        )

    async def set_backend_faults(self, node: deployment.NodePlan, **faults: object) -> None:
        """Switches faults of one backend server."""
        body = json.dumps(faults).encode("ascii")
        await self.request(node.backend_address, "POST", "/faults", body=body)

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        headers: messages.Headers = (),
        body: bytes = b"",
    ) -> dict | None:
        """JSON of a request with status 200, else None."""
        request = messages.Request(method, target, headers, body)
        try:
            response = await client.fetch(address, request, REQUEST_MS)
        except messages.HttpError:
            return None
        return json.loads(response.body) if response.status == 200 else None


def backend_name(node: deployment.NodePlan) -> str:
    """Process name of the backend server of a VM."""
    return f"{node.node}-backend"
