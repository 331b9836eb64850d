"""Administration API of a node over HTTP; docs/admin-api.md lists responses and errors."""

import dataclasses
from collections.abc import Callable

import msgspec

from buckthornstage import decoding
from buckthornstage.admin import access
from buckthornstage.history import events
from buckthornstage.http import messages
from buckthornstage.membership import records
from buckthornstage.node import context
from buckthornstage.settings import node_settings

JSON = ((b"content-type", b"application/json"),)


class ApiError(Exception):
    """Ends a request with an error status and a text that says how to correct the request."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text


class DrainRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `POST /drain`: whether to drain the backend server on this VM."""

    enabled: bool


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """One endpoint: the right that it requires and the function that computes its response."""

    right: access.Right
    handle: Callable[[messages.Request], object]


class AdminApi:
    """Handles requests to the admin address of one node.

    `extra_metrics` returns more metrics for `GET /metrics`; `is_draining` is set by `POST /drain`.
    """

    def __init__(
        self, node: context.NodeContext, extra_metrics: Callable[[], dict[str, object]]
    ) -> None:
        self.node = node
        self.extra_metrics = extra_metrics
        self.own_host = node.settings.admin_address.rpartition(":")[0].strip("[]")
        self.is_draining = False
        self.announced: dict[str, records.TargetRecord] = {}
        self.endpoints = {
            ("GET", "/status"): Endpoint(access.Right.READ, self._status),
            ("GET", "/document"): Endpoint(access.Right.READ, self._document),
            ("GET", "/members"): Endpoint(access.Right.READ, self._members),
            ("GET", "/events"): Endpoint(access.Right.READ, self._events),
            ("GET", "/metrics"): Endpoint(access.Right.READ, self._metrics),
            ("POST", "/announce"): Endpoint(access.Right.LOCAL, self._announce),
            ("POST", "/drain"): Endpoint(access.Right.OPERATE, self._drain),
        }

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handles one request; responses are JSON, and errors are `{"error": TEXT}`."""
        try:
            status, body = 200, self._dispatch(request)
        except ApiError as error:
            status, body = error.status, {"error": error.text}
        return messages.Response(status, JSON, msgspec.json.encode(body) + b"\n")

    def _dispatch(self, request: messages.Request) -> object:
        path = request.target.partition("?")[0]
        endpoint = self.endpoints.get((request.method, path))
        if endpoint is None:
            known = ", ".join(f"{method} {name}" for method, name in self.endpoints)
            raise ApiError(404, f"no such endpoint; there are {known}")
        self._authorize(request, path, endpoint.right)
        return endpoint.handle(request)

    def _authorize(self, request: messages.Request, path: str, right: access.Right) -> None:
        principal = access.authenticate(request, self.node.settings.admin_tokens)
        if right is access.Right.LOCAL:
            if request.peer == self.own_host:
                return
        elif principal is not None and principal.has_right(right):
            return
        team = principal.team if principal else "unknown"
        detail = f"{request.method} {path} by {team} from {request.peer}"
        self.node.record(events.EventKind.ACCESS_DENIED, detail)
        if right is access.Right.LOCAL:
            raise ApiError(403, f"{path} takes requests from {self.own_host} only")
        if principal is None:
            raise ApiError(401, "send authorization: Bearer TOKEN with a token of admin_tokens")
        raise ApiError(403, f"the token of {team} lacks the right {right.value}")

    @property
    def _version(self) -> int:
        return self.node.core.document.version

    def _status(self, request: messages.Request) -> object:
        settings = self.node.settings
        summary = msgspec.to_builtins(self.node.core.status(self.node.clock.now_ms()))
        return {
            "node": settings.node,
            "zone": settings.zone,
            "region": settings.region,
            "ready": summary.pop("is_ready"),
            "leaving": self.node.is_leaving,
            **summary,
        }

    def _document(self, request: messages.Request) -> object:
        document = self.node.core.document
        folded = self.node.core.fold.state
        # A refused publish advances the position in the log without a new version.
        position = folded if folded.version == document.version else document
        sections = {
            name: {
                "offset": section.offset,
                "team": section.team,
                "author": section.author,
                "publish_id": section.publish_id,
                "body": msgspec.Raw(section.body),
            }
            for name, section in document.sections.items()
        }
        return {
            "version": document.version,
            "rules": document.rules,
            "sections": sections,
            "last_offset": position.last_offset,
            "recent_ids": position.recent_ids,
        }

    def _members(self, request: messages.Request) -> object:
        return [msgspec.to_builtins(record) for record in self.node.core.members.records.values()]

    def _events(self, request: messages.Request) -> object:
        return [msgspec.to_builtins(event) for event in self.node.core.history.buffer.recent()]

    def _metrics(self, request: messages.Request) -> object:
        traffic = self.node.transport.traffic
        return {
            "control_bytes_sent": traffic.bytes_sent,
            "control_bytes_received": traffic.bytes_received,
            "control_messages_sent": traffic.messages_sent,
            "control_messages_received": traffic.messages_received,
            "control_messages_dropped": traffic.messages_dropped,
            "control_datagrams_refused": traffic.datagrams_refused,
            "control_bytes_sent_by_kind": dict(traffic.bytes_by_kind),
            **self.extra_metrics(),
        }

    def _announce(self, request: messages.Request) -> object:
        record = _decode(request.body, records.TargetRecord)
        if not node_settings.is_address(record.address):
            form = node_settings.ADDRESS_FORM
            raise ApiError(400, f"address: {record.address!r} is not {form}")
        self.announced[record.address] = record
        self._announce_to_core(record)
        return {"version": self._version}

    def _drain(self, request: messages.Request) -> object:
        self.is_draining = _decode(request.body, DrainRequest).enabled
        for record in self.announced.values():
            self._announce_to_core(record)
        return {"draining": self.is_draining}

    def _announce_to_core(self, record: records.TargetRecord) -> None:
        if self.is_draining:
            record = msgspec.structs.replace(record, status=records.TargetStatus.LEAVING)
        self.node.apply(self.node.core.announce(record, self.node.clock.now_ms()))


def _decode(body: bytes, into: type):
    try:
        return decoding.decode(msgspec.json.Decoder(into), body)
    except msgspec.MsgspecError as error:
        raise ApiError(400, f"the body is not a valid {into.__name__}: {error}") from error
