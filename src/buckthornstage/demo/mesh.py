"""Processes of a running mesh: platform stand-in, nodes and backend servers."""

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
START_TIMEOUT_MS = 30_000  # many interpreters start at once on a shared machine
REQUEST_TIMEOUT_MS = 2_000
BACKEND_LEAVE_MS = 4_000  # longer than the 3 s until all nodes know of a leaving server


class Mesh:
    """Starts and stops the processes of a deployment, and sends requests to them."""

    def __init__(self, plan: deployment.Deployment, running: processes.Processes) -> None:
        self.plan = plan
        self.processes = running
        self.log = log_client.LogClient(plan.log_url)
        self.stopped_nodes: set[str] = set()

    @property
    def record_path(self) -> pathlib.Path:
        """File in which all backend servers record their runs."""
        return self.plan.run_directory / "runs.jsonl"

    @property
    def running_nodes(self) -> list[deployment.NodePlan]:
        """VMs that are neither stopped nor killed."""
        return [node for node in self.plan.nodes if node.node not in self.stopped_nodes]

    def call_addresses(self) -> tuple[str, ...]:
        """Call addresses of the running nodes."""
        return tuple(node.call_address for node in self.running_nodes)

    def backend_addresses(self, path: str) -> tuple[str, ...]:
        """Addresses of the running backend servers that serve `path`."""
        service = self.service_of(path)
        return tuple(node.backend_address for node in self.running_nodes if node.service == service)

    @functools.lru_cache(maxsize=64)  # noqa: B019 - a mesh exists until its process ends
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
        """Starts the node of a VM."""
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
        """Starts all processes and waits until every node is ready."""
        self.start_log(*log_arguments)
        await processes.wait_until(
            self._is_log_responding, START_TIMEOUT_MS, "the platform stand-in"
        )
        for node in self.plan.nodes:
            self.start_node(node)
            self.start_backend(node)
        await self.wait_ready(self.plan.nodes)

    async def wait_ready(self, nodes, timeout_ms: int = START_TIMEOUT_MS) -> None:
        """Waits until these nodes report that they are ready; raises ConditionError."""
        for node in nodes:

            async def is_ready(node=node) -> bool:
                self.check_running(node)
                status = await self.status(node)
                return bool(status and status.get("ready"))

            await processes.wait_until(is_ready, timeout_ms, f"{node.node} to be ready")

    def check_running(self, node: deployment.NodePlan) -> None:
        """Raises ConditionError with the last lines of its log if the node of a VM has exited."""
        status = self.processes.exit_status(node.node)
        if status is not None:
            tail = self.processes.log_tail(node.node)
            raise processes.ConditionError(f"{node.node} exited with status {status}:\n{tail}")

    async def _is_log_responding(self) -> bool:
        return await self.request(self.plan.log_address, "GET", "/record") is not None

    async def kill_vm(self, *nodes: deployment.NodePlan) -> None:
        """Kills the nodes and backend servers of VMs by SIGKILL, all at once."""
        names = [name for node in nodes for name in (node.node, backend_name(node))]
        self.stopped_nodes.update(node.node for node in nodes)
        for name in names:
            self.processes.signal(name, signal.SIGKILL)
        for name in names:
            await self.processes.wait(name, processes.KILL_TIMEOUT_MS)

    async def stop_vm(
        self, node: deployment.NodePlan, timeout_ms: int = START_TIMEOUT_MS
    ) -> list[int]:
        """Stops a backend server, then its node, gracefully; returns both exit statuses.

        The backend server stops first, because it announces its shutdown to its node.
        """
        self.processes.signal(backend_name(node), signal.SIGTERM)
        statuses = [await self.processes.wait(backend_name(node), timeout_ms)]
        self.processes.signal(node.node, signal.SIGTERM)
        statuses.append(await self.processes.wait(node.node, timeout_ms))
        self.stopped_nodes.add(node.node)
        return statuses

    def restart_vm(self, node: deployment.NodePlan) -> None:
        """Restarts a stopped or killed VM at the same addresses."""
        self.start_node(node)
        self.start_backend(node)
        self.stopped_nodes.discard(node.node)

    async def status(self, node: deployment.NodePlan) -> dict | None:
        """`GET /status` of a node, or None without a response of status 200."""
        return await self.admin(node, "/status")

    async def admin(self, node: deployment.NodePlan, path: str) -> dict | None:
        """JSON response to an admin request, or None without a response of status 200."""
        headers = ((b"authorization", f"Bearer {self.plan.read_only_token}".encode("ascii")),)
        return await self.request(node.admin_address, "GET", path, headers)

    async def versions(self) -> dict[str, int]:
        """Version in force on each running node; -1 without a response."""
        result: dict[str, int] = {}

        async def fetch_version(node: deployment.NodePlan) -> None:
            status = await self.status(node)
            result[node.node] = status["version"] if status else -1

        async with trio.open_nursery() as nursery:
            for node in self.running_nodes:
                nursery.start_soon(fetch_version, node)
        return result

    async def set_log_faults(self, **faults: object) -> None:
        """Sets faults of the platform stand-in."""
        await self.request(
            self.plan.log_address, "POST", "/faults", body=json.dumps(faults).encode("ascii")
        )

    async def set_backend_faults(self, node: deployment.NodePlan, **faults: object) -> None:
        """Sets faults of one backend server."""
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
        """Sends a request; returns the JSON of a response with status 200, else None."""
        request = messages.Request(method, target, headers, body)
        try:
            response = await client.fetch(address, request, REQUEST_TIMEOUT_MS)
        except messages.HttpError:
            return None
        return json.loads(response.body) if response.status == 200 else None


def backend_name(node: deployment.NodePlan) -> str:
    """Process name of the backend server of a VM."""
    return f"{node.node}-backend"
