"""Entry point of the node on the platform."""

import functools
import os
import pathlib
import sys

import msgspec
import trio

from buckthornstage import errors
from buckthornstage.mesh import adapter as adapters
from buckthornstage.mesh import node, settings, store
from buckthornstage.platform import (
    announcements,
    call_headers,
    operator_config,
    rollout_records,
    store_client,
)
from buckthornstage.routing import routes

SETTINGS_VARIABLE = "BUCKTHORNSTAGE_NODE_FILE"
DIRECTORY_TOPIC = "keyed.nodes"
EXIT_BAD_SETTINGS = 2


def version_of(record: store.KeyedRecord) -> int | None:
    """Configuration version in a record of the operator's topic, or None for other keys.

    Raises DocumentError for a record without a valid version.
    """
    if record.key != operator_config.CONFIG_KEY or record.value is None:
        return None
    return operator_config.decode_version(record.value)


def configuration_of(record: store.KeyedRecord) -> routes.Configuration | None:
    """Configuration in a record of the operator's topic, or None for other keys.

    Raises DocumentError for an invalid record.
    """
    if record.key != operator_config.CONFIG_KEY or record.value is None:
        return None
    return operator_config.decode(record.value)


def adapter(store_address: str) -> adapters.Adapter:
    """The platform's header codec, store topics, decoders and handlers for a node."""
    client = store_client.StoreClient(store_address)
    return adapters.Adapter(
        call_headers.HEADER_CODEC,
        client.keyed_topic(operator_config.CONFIG_TOPIC),
        client.keyed_topic(DIRECTORY_TOPIC),
        version_of,
        configuration_of,
        announcements.announce_handler,
        announcements.ready_handler,
        client.era,
        rollout_records.order_of,
        functools.partial(rollout_records.decide, client),
    )


def run() -> None:
    """Loads the settings file named in the environment and runs the node until it is stopped."""
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        loaded = settings.load(path)
    except errors.SettingsError as error:
        line = {"part": "node", "event": "bad_settings", "problem": str(error)}
        print(msgspec.json.encode(line).decode(), flush=True)
        sys.exit(EXIT_BAD_SETTINGS)
    trio.run(node.MeshNode(loaded, path, adapter(loaded.store_address)).run)
