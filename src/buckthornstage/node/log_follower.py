"""Follows the `config` stream of the log while this node is one of its zone's readers."""

import random

import logbook
import trio

from buckthornstage import errors
from buckthornstage.dissemination import contacts, readers
from buckthornstage.node import context, core

log = logbook.Logger("log")

BATCH_RECORDS = 50  # folding one publish takes about 1 ms and blocks all calls
CONTACT_RECORDS = 32
CONTACT_CHECK_MS = 1_000
BACKOFF_MIN_MS = 100
BACKOFF_MAX_MS = 5_000
IDLE_CHECK_MS = 250  # a quarter of the shortest takeover delay (the default reader_takeover_ms)


async def follow(node: context.NodeContext) -> None:
    """Reads while the core needs it; backs off with jitter while the log fails."""
    failures = 0
    while True:
        if not node.core.should_read_log(node.clock.now_ms()):
            await trio.sleep(IDLE_CHECK_MS / 1000)
            continue
        try:
            batch = await node.log_client.read(
                core.CONFIG_STREAM, node.core.fold.next_offset, BATCH_RECORDS, readers.LOG_WAIT_MS
            )
        except errors.LogError as error:
            failures += 1
            if failures == 1:
                log.warning("reading stream config failed, retrying with back-off: {}", error)
            node.apply(node.core.on_log_error(node.clock.now_ms()))
            await trio.sleep(backoff_ms(failures, node.random) / 1000)
            continue
        if failures:
            log.info("reading stream config succeeded after {} failures", failures)
        failures = 0
        node.apply(node.core.on_log_batch(batch, node.clock.now_ms()))


async def follow_contacts(node: context.NodeContext) -> None:
    """Reads stream `contacts` whenever the core has a read due."""
    while True:
        if node.core.should_read_contacts(node.clock.now_ms()):
            try:
                batch = await node.log_client.read(
                    contacts.STREAM, node.core.contacts_offset, CONTACT_RECORDS, 0
                )
            except errors.LogError as error:
                log.debug("reading stream contacts failed: {}", error)
                node.core.on_contacts_error(node.clock.now_ms())
            else:
                node.apply(node.core.on_log_batch(batch, node.clock.now_ms()))
        await trio.sleep(CONTACT_CHECK_MS / 1000)


def backoff_ms(failures: int, generator: random.Random) -> float:
    """Random wait of at least 100 ms, up to 100 ms doubled per failure and at most 5 s."""
    ceiling = min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** min(failures, 10))
    return generator.uniform(BACKOFF_MIN_MS, ceiling)
