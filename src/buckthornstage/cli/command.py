"""Definition of sub-commands, their input and output, common flags and exit statuses."""

import dataclasses
import enum
import os
import sys
from collections.abc import Awaitable, Callable
from typing import TextIO

import msgspec
from absl import flags

from buckthornstage import clock, errors


class ExitStatus(enum.IntEnum):
    """Exit statuses of the tool, the same for every sub-command."""

    SUCCESS = 0
    REFUSED = 1  # refused, a difference was found, or nothing was found
    USAGE = 2  # wrong usage or bad input
    UNREACHABLE = 3  # the log or a node cannot be reached, or did not answer in time


EXIT_STATUS_HELP = (
    "exit status: 0 success; 1 refused or differing; 2 wrong usage or bad input; 3 log or node "
    "unreachable"
)


class UsageError(errors.BuckthornstageError):
    """The command line or its input is invalid; the text says how to correct it."""


class UnreachableError(errors.BuckthornstageError):
    """The log or a node could not be reached, or did not return what the command needs."""


@dataclasses.dataclass
class Context:
    """Input and output of one run: flag values, positional arguments, streams, clock."""

    values: flags.FlagValues
    arguments: tuple[str, ...]
    output: TextIO = dataclasses.field(default_factory=lambda: sys.stdout)
    progress: TextIO = dataclasses.field(default_factory=lambda: sys.stderr)
    time: clock.Clock = dataclasses.field(default_factory=clock.Clock)

    def emit(self, line: str) -> None:
        """Writes one line of the result; characters that could control a terminal are replaced."""
        print(printable(line), file=self.output, flush=True)

    def emit_json(self, value: object) -> None:
        """Writes one line with a JSON value."""
        print(msgspec.json.encode(value).decode(), file=self.output, flush=True)

    def report(self, line: str) -> None:
        """Writes one progress line to standard error; control characters are replaced."""
        print(printable(line), file=self.progress, flush=True)

    def required(self, name: str) -> str:
        """Value of a text flag; raises UsageError when it is empty."""
        value = self.values[name].value
        if not value:
            raise UsageError(f"give --{name}: {self.values[name].help}")
        return value

    def file_argument(self) -> str:
        """Text of the FILE argument, "-" for standard input; raises UsageError."""
        if len(self.arguments) != 1:
            raise UsageError(f"give one FILE, not {len(self.arguments)}; - is standard input")
        return read_text(self.arguments[0])

    def reject_arguments(self) -> None:
        """Raises UsageError if there are positional arguments."""
        if self.arguments:
            raise UsageError(f"unexpected argument {self.arguments[0]!r}")


@dataclasses.dataclass(frozen=True)
class Command:
    """One sub-command; `define` adds its own flags, `run` returns the exit status."""

    name: str
    arguments: str
    summary: str
    examples: tuple[str, ...]
    define: Callable[[flags.FlagValues], None]
    run: Callable[[Context], Awaitable[ExitStatus]]


def define_common(values: flags.FlagValues) -> None:
    """Defines the flags of every sub-command; defaults come from the environment."""
    flags.DEFINE_bool("help", False, "show this help", flag_values=values)
    flags.DEFINE_bool("json", False, "print JSON", flag_values=values)
    flags.DEFINE_string(
        "log",
        os.environ.get("BUCKTHORNSTAGE_LOG", ""),
        "URL of the log, http://IP:port (default from BUCKTHORNSTAGE_LOG)",
        flag_values=values,
    )
    flags.DEFINE_multi_string(
        "admin",
        os.environ.get("BUCKTHORNSTAGE_ADMIN", "").split(),
        "admin address of a node, IP:port; repeat it for more (default from BUCKTHORNSTAGE_ADMIN, "
        "separated by spaces)",
        flag_values=values,
    )
    flags.DEFINE_string(
        "token",
        os.environ.get("BUCKTHORNSTAGE_TOKEN", ""),
        "token of the administration API (default from BUCKTHORNSTAGE_TOKEN, which other users of "
        "this machine cannot see)",
        flag_values=values,
    )
    flags.DEFINE_string(
        "root_key",
        os.environ.get("BUCKTHORNSTAGE_ROOT_KEY", ""),
        "public key of the team root, as root_public_key in the nodes' settings, or a file with it "
        "(default from BUCKTHORNSTAGE_ROOT_KEY)",
        flag_values=values,
    )
    flags.DEFINE_string(
        "secret_file",
        "",
        "file with the mesh secret; only needed to start from a checkpoint in a trimmed log when "
        "no node can be asked",
        flag_values=values,
    )


def define_section(values: flags.FlagValues) -> None:
    """Defines the flag --section."""
    flags.DEFINE_string("section", "", "teams, routing, backends or limits", flag_values=values)


def define_nothing(values: flags.FlagValues) -> None:
    """For sub-commands without flags of their own."""


def read_text(path: str) -> str:
    """Text of a file, or of standard input for "-"; raises UsageError."""
    try:
        if path == "-":
            return sys.stdin.read()
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{path} cannot be read: {error}") from error


def printable(line: str) -> str:
    """The line with control characters replaced, because it may hold text of other users."""
    return "".join(character if character.isprintable() else "?" for character in line)
