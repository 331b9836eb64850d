"""Translates the operator's orders of roll-outs, and the records of their state in the store."""

import msgspec

from buckthornstage import decoding, errors
from buckthornstage.mesh import store
from buckthornstage.platform import store_client
from buckthornstage.rollouts import orders

KEY_PREFIX = "rollout/"
STATUS_TOPIC = "keyed.status"
ORDER_KEY_PREFIX = "rollout-order/"
"""Key of our own record beside the published one: which order the state belongs to."""
MS_PER_SECOND = 1_000
MAX_PERIOD_S = decoding.MAX_MS // MS_PER_SECOND
MAX_CONFLICTS = 4
STATE_NAMES = {
    orders.State.RUNNING: "running",
    orders.State.COMPLETED: "completed",
    orders.State.ROLLED_BACK: "rolled_back",
}


_STATES = {name: state for state, name in STATE_NAMES.items()}


class _Order(msgspec.Struct):
    service: decoding.Name
    to_version: decoding.Name
    period_s: float


class _OrderState(msgspec.Struct):
    number: tuple[decoding.Whole, decoding.Whole]
    state: str
    to_version: decoding.Name = ""

    def is_of(self, order: orders.Order) -> bool:
        """Whether the state belongs to the order, or to the same record before the store was
        restored from a copy."""
        same_record = (self.number[1], self.to_version) == (order.number[1], order.version)
        return self.number == order.number or (same_record and self.number < order.number)


_order_decoder = msgspec.json.Decoder(_Order)
_state_decoder = msgspec.json.Decoder(_OrderState)


def order_of(record: store.KeyedRecord, era: int | None) -> orders.Order | None:
    """Order in a record of the operator's topic, or None for other keys.

    Raises DocumentError for an invalid record.
    """
    if not record.key.startswith(KEY_PREFIX) or record.value is None:
        return None
    try:
        found = decoding.decode(_order_decoder, record.value)
    except msgspec.MsgspecError as error:
        raise errors.DocumentError(f"order of a roll-out: {error!r}") from error
    if record.key != KEY_PREFIX + found.service or not found.to_version:
        raise errors.DocumentError(f"order of a roll-out under {record.key!r}: {found!r}")
    if not 0 < found.period_s <= MAX_PERIOD_S:
        raise errors.DocumentError(f"order of a roll-out: period of {found.period_s} s")
    number = (era or 0, record.offset)
    return orders.Order(
        found.service, found.to_version, round(found.period_s * MS_PER_SECOND), number
    )


async def decide(
    client: store_client.StoreClient, order: orders.Order, state: orders.State
) -> orders.State | None:
    """Writes a state of an order, unless the store holds a final one or that of a later order.

    The write names the end of the topic that was read, so of two writers one reads again. Returns
    the state that the store holds then, None for a later order; raises LogError.
    """
    topic = client.keyed_topic(STATUS_TOPIC)
    for _ in range(MAX_CONFLICTS):
        batch = await topic.newest()
        held = _held(batch, order.service)
        if held is not None and held.number > order.number:
            return None
        if held is not None and held.is_of(order):
            held_state = _STATES[held.state]
            if state is orders.State.RUNNING or held_state is not orders.State.RUNNING:
                return held_state
        try:
            await client.append_at(STATUS_TOPIC, _values(order, state), batch.next_position)
            return state
        except (errors.ConflictError, errors.LogResponseLostError):
            # Another writer was first, or this write may have been done: the next read tells.
            continue
    raise errors.LogUnavailableError(f"{MAX_CONFLICTS} writes of a roll-out's state were void")


def _held(batch: store.Batch, service: str) -> _OrderState | None:
    """Which order the stored state of a service belongs to; None without a valid record."""
    values = {record.key: record.value for record in batch.records}
    payload = values.get(ORDER_KEY_PREFIX + service)
    if payload is None:
        return None
    try:
        held = decoding.decode(_state_decoder, payload)
    except msgspec.MsgspecError:
        # Bytes of another writer; the next write replaces them.
        return None
    return held if held.state in _STATES else None


def _values(order: orders.Order, state: orders.State) -> dict[str, bytes]:
    name = STATE_NAMES[state]
    published = {"service": order.service, "to_version": order.version, "state": name}
    return {
        KEY_PREFIX + order.service: msgspec.json.encode(published),
        ORDER_KEY_PREFIX
        + order.service: msgspec.json.encode(_OrderState(order.number, name, order.version)),
    }
