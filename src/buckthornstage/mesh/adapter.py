"""The parts of a node that depend on the platform."""

import dataclasses
from collections.abc import Awaitable, Callable

from buckthornstage.http import server
from buckthornstage.mesh import header_codec, store
from buckthornstage.rollouts import orders
from buckthornstage.routing import routes


@dataclasses.dataclass(frozen=True)
class Adapter:
    """Header codec, store topics and HTTP handlers of one platform."""

    header_codec: header_codec.HeaderCodec
    configurations: store.KeyedTopic
    nodes: store.KeyedTopic
    version_of: Callable[[store.KeyedRecord], int | None]
    configuration_of: Callable[[store.KeyedRecord], routes.Configuration | None]
    announce_handler: Callable[..., server.Handler]
    ready_handler: Callable[[Callable[[], bool]], server.Handler]
    era: store.EraWatch
    rollout_order_of: Callable[[store.KeyedRecord, int | None], orders.Order | None]
    decide_rollout: Callable[[orders.Order, orders.State], Awaitable[orders.State | None]]
