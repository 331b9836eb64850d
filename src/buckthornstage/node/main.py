"""Entry point of the daemon: `buckthornstaged --settings=FILE`."""

import pathlib
import sys

import pynng
import trio
from absl import app, flags

from buckthornstage import errors
from buckthornstage.node import daemon, logs
from buckthornstage.settings import node_settings

EXIT_NO_ADDRESS = 1
EXIT_BAD_SETTINGS = 2

SETTINGS = flags.DEFINE_string("settings", None, "YAML file with the settings of this node.")


def main(arguments: list[str]) -> int:
    """Loads the settings and runs the node until a stop signal; returns the exit status."""
    if len(arguments) > 1 or not SETTINGS.value:
        print("usage: buckthornstaged --settings=FILE", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        settings = node_settings.load(pathlib.Path(SETTINGS.value))
    except errors.SettingsError as error:
        print(f"buckthornstaged: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    logs.install(settings.node, settings.log_level)
    status = 0
    try:
        trio.run(daemon.Daemon(settings).run)
    except* (OSError, pynng.NNGException) as group:
        for error in errors.leaf_exceptions(group):
            print(f"buckthornstaged: cannot listen on its addresses: {error}", file=sys.stderr)
        status = EXIT_NO_ADDRESS
    return status


def run() -> None:
    """Console-script entry point."""
    app.run(main)


if __name__ == "__main__":
    run()
