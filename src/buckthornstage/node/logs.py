"""Log output of the daemon: one line per record, prefixed by its component."""

import sys

import logbook

FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name:<7} "
    "{record.extra[node]} {record.channel}: {record.message}"
)


def install(node: str, level: str) -> None:
    """Writes records of `level` and above to standard error, with the node's name."""
    logbook.StreamHandler(sys.stderr, level=level.upper(), format_string=FORMAT).push_application()
    logbook.Processor(lambda record: record.extra.update(node=node)).push_application()
