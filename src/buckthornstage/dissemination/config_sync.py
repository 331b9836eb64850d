"""Synchronization of document versions between peers: deltas, full copies and requests."""

import msgspec

from buckthornstage.document import reader, state
from buckthornstage.history import events
from buckthornstage.protocol import effects, messages

REQUEST_TIMEOUT_MS = (
    300  # a lost request is repeated after this; several peers push each version, one is asked
)


def delta_from(base_version: int, current: state.DocumentState) -> messages.ConfigDelta:
    """Returns the changes since a version: sections with a greater offset."""
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
    """Returns the resulting state, or None if the base version or the digest does not match."""
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
    """Updates the log fold's state from peers; only greater versions are adopted."""

    def __init__(self, fold: reader.LogFold) -> None:
        self.fold = fold
        self.request_expires_ms = 0
        self.reported_divergences: set[tuple[str, int]] = set()
        self._cached_digest: tuple[state.DocumentState, str] | None = None
        self.source_address = ""
        """Address of the peer that sent the current version; "" if it was read from the log."""
        self.source_zone = ""

    @property
    def document(self) -> state.DocumentState:
        """The newest state known to this node, which may not be active yet."""
        return self.fold.state

    def digest(self) -> str:
        """Digest of the newest known state; cached until the state changes."""
        if self._cached_digest is None or self._cached_digest[0] is not self.fold.state:
            self._cached_digest = (self.fold.state, state.digest(self.fold.state))
        return self._cached_digest[1]

    def on_digest(
        self, sender: messages.Envelope, message: messages.Digest
    ) -> tuple[list[effects.Effect], bool]:
        """Compares versions; returns the effects and whether to reply with this node's digest."""
        current = self.document
        if message.version < current.version:
            return [effects.Send(sender.address, self._update_for(message.version))], False
        if message.version > current.version:
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
        """Applies a delta, or requests a full copy if it does not fit the current version."""
        current = self.document
        if message.version == current.version and message.state_digest != self.digest():
            return self._report_divergence(sender, message.version)
        if message.version <= current.version:
            return []
        result = apply_delta(current, message)
        if result is None:
            return self._request_full(sender, now_ms)
        return self._adopt(sender, result)

    def on_full(
        self, sender: messages.Envelope, message: messages.ConfigFull
    ) -> list[effects.Effect]:
        """Adopts a full copy if its version is greater and its digest matches."""
        current, offered = self.document, message.document
        self.request_expires_ms = 0
        if state.digest(offered) != message.state_digest:
            return []
        if offered.version == current.version and message.state_digest != self.digest():
            return self._report_divergence(sender, offered.version)
        return self._adopt(sender, offered) if offered.version > current.version else []

    def on_request(
        self, sender: messages.Envelope, message: messages.ConfigRequest
    ) -> list[effects.Effect]:
        """Sends a full copy to a peer with an older version."""
        if self.document.version <= message.version:
            return []
        return [effects.Send(sender.address, messages.ConfigFull(self.document, self.digest()))]

    def on_log(self, version_before: int) -> None:
        """Records the log as the source of the current version if the version changed."""
        if self.document.version > version_before:
            self.source_address = self.source_zone = ""

    def _adopt(self, sender: messages.Envelope, newer: state.DocumentState) -> list[effects.Effect]:
        if not self.fold.adopt(newer):
            return self._report_divergence(sender, newer.version)
        self.source_address, self.source_zone = sender.address, sender.zone
        return []

    def try_start_request(self, now_ms: int) -> bool:
        """Returns False while a request is pending; otherwise marks a new one as pending."""
        if now_ms < self.request_expires_ms:
            return False
        self.request_expires_ms = now_ms + REQUEST_TIMEOUT_MS
        return True

    def _request_full(self, sender: messages.Envelope, now_ms: int) -> list[effects.Effect]:
        if not self.try_start_request(now_ms):
            return []
        request = messages.ConfigRequest(self.document.version)
        return [effects.Send(sender.address, request)]

    def _report_divergence(self, sender: messages.Envelope, version: int) -> list[effects.Effect]:
        key = (sender.sender, version)
        if key in self.reported_divergences:
            return []
        self.reported_divergences.add(key)
        detail = f"{sender.sender} holds another state for version {version}"
        return [effects.Emit(events.EventKind.STATE_DIVERGED, self.document.version, detail)]
