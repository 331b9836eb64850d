"""Exchange of document versions between peers: deltas, full copies and requests."""

import msgspec

from buckthornstage.document import reader, state
from buckthornstage.history import events
from buckthornstage.protocol import effects, messages

REQUEST_WAIT_MS = 300  # one full copy is asked for at a time; pushes arrive from several peers


def delta_from(base_version: int, current: state.DocumentState) -> messages.ConfigDelta:
    """What changed since a version; a section changed if its offset is greater."""
    changed = {n: s for n, s in current.sections.items() if s.offset > base_version}
    return messages.ConfigDelta(
        base_version,
        current.version,
        current.rules,
        state.digest(current),
        changed,
        current.last_offset,
        current.recent_ids,
    )


def apply_delta(
    current: state.DocumentState, delta: messages.ConfigDelta
) -> state.DocumentState | None:
    """Returns the state after the delta, or None if base or digest do not match."""
    if current.version != delta.base_version:
        return None
    result = msgspec.structs.replace(
        current,
        version=delta.version,
        rules=delta.rules,
        sections={**current.sections, **delta.changed},
        last_offset=delta.last_offset,
        recent_ids=delta.recent_ids,
    )
    return result if state.digest(result) == delta.state_digest else None


class ConfigSync:
    """Keeps the log fold's state up to date from peers; only greater versions are adopted."""

    def __init__(self, fold: reader.LogFold) -> None:
        self.fold = fold
        self.request_until_ms = 0
        self.diverged: set[tuple[str, int]] = set()
        self._digest_of: tuple[state.DocumentState, str] | None = None
        self.learned_from = ""
        """Address of the peer that the present version came from; "" for the log."""
        self.learned_zone = ""

    @property
    def document(self) -> state.DocumentState:
        """The newest state that this node holds."""
        return self.fold.state

    def digest(self) -> str:
        """Digest of the held state."""
        if self._digest_of is None or self._digest_of[0] is not self.fold.state:
            self._digest_of = (self.fold.state, state.digest(self.fold.state))
        return self._digest_of[1]

    def on_digest(
        self, sender: messages.Envelope, message: messages.Digest
    ) -> tuple[list[effects.Effect], bool]:
        """Compares versions; returns effects and whether an own digest should be the answer."""
        held = self.document
        if message.version < held.version:
            return [effects.Send(sender.address, self._update_for(message.version))], False
        if message.version > held.version:
            return [], True
        if message.state_digest != self.digest():
            return self._report_divergence(sender, message.version), False
        return [], False

    def _update_for(self, version: int) -> messages.ConfigDelta | messages.ConfigFull:
        if version > 0:
            return delta_from(version, self.document)
        return messages.ConfigFull(self.document, self.digest())

    def on_delta(
        self, sender: messages.Envelope, message: messages.ConfigDelta, now_ms: int
    ) -> list[effects.Effect]:
        """Applies a delta to the matching version, or asks for a full copy."""
        held = self.document
        if message.version == held.version and message.state_digest != self.digest():
            return self._report_divergence(sender, message.version)
        if message.version <= held.version:
            return []
        result = apply_delta(held, message)
        if result is None:
            return self._request_full(sender, now_ms)
        return self._adopt(sender, result)

    def on_full(
        self, sender: messages.Envelope, message: messages.ConfigFull
    ) -> list[effects.Effect]:
        """Adopts a full copy of a greater version whose digest is right."""
        held, offered = self.document, message.document
        self.request_until_ms = 0
        if state.digest(offered) != message.state_digest:
            return []
        if offered.version == held.version and message.state_digest != self.digest():
            return self._report_divergence(sender, offered.version)
        return self._adopt(sender, offered) if offered.version > held.version else []

    def on_request(
        self, sender: messages.Envelope, message: messages.ConfigRequest
    ) -> list[effects.Effect]:
        """Sends a full copy to a peer that holds less."""
        if self.document.version <= message.version:
            return []
        return [effects.Send(sender.address, messages.ConfigFull(self.document, self.digest()))]

    def on_log(self, version_before: int) -> None:
        """Notes that the version now held came from the log, if it changed."""
        if self.document.version > version_before:
            self.learned_from = self.learned_zone = ""

    def _adopt(self, sender: messages.Envelope, newer: state.DocumentState) -> list[effects.Effect]:
        if not self.fold.adopt(newer):
            return self._report_divergence(sender, newer.version)
        self.learned_from, self.learned_zone = sender.address, sender.zone
        return []

    def may_ask(self, now_ms: int) -> bool:
        """Whether no request is under way; if so, one counts as sent now."""
        if now_ms < self.request_until_ms:
            return False
        self.request_until_ms = now_ms + REQUEST_WAIT_MS
        return True

    def _request_full(self, sender: messages.Envelope, now_ms: int) -> list[effects.Effect]:
        if not self.may_ask(now_ms):
            return []
        request = messages.ConfigRequest(self.document.version)
        return [effects.Send(sender.address, request)]

    def _report_divergence(self, sender: messages.Envelope, version: int) -> list[effects.Effect]:
        key = (sender.sender, version)
        if key in self.diverged:
            return []
        self.diverged.add(key)
        detail = f"{sender.sender} holds another state for version {version}"
        return [effects.Emit(events.EventKind.STATE_DIVERGED, self.document.version, detail)]
