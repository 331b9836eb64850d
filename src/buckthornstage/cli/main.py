"""The tool `buckthornstage`: runs a sub-command and maps errors to exit statuses."""

import os
import sys
from typing import TextIO

import trio
from absl import flags

from buckthornstage import errors
from buckthornstage.cli import (
    command,
    document_commands,
    explain_commands,
    history_commands,
    node_commands,
    publish_command,
    route_command,
)

PROGRAM = "buckthornstage"
INTERRUPTED = 130  # 128 + SIGINT, as shells report it
# absl adds these to every set of flags; the tool does not document them.
INTERNAL_FLAGS = frozenset({"flagfile", "undefok"})

COMMANDS: dict[str, command.Command] = {
    item.name: item
    for module in (
        document_commands,
        publish_command,
        node_commands,
        history_commands,
        explain_commands,
        route_command,
    )
    for item in module.COMMANDS
}


def overview() -> str:
    """Help text of the whole tool."""
    width = max(map(len, COMMANDS))
    lines = [f"usage: {PROGRAM} COMMAND [FILE] [--flags]", "", "commands:"]
    lines += [f"  {name:{width}}  {item.summary}" for name, item in COMMANDS.items()]
    lines += ["", f"{PROGRAM} COMMAND --help shows flags and examples.", command.EXIT_STATUS_HELP]
    return "\n".join(lines)


def command_help(item: command.Command, values: flags.FlagValues) -> str:
    """Help text of one sub-command."""
    lines = [f"usage: {PROGRAM} {item.name} {item.arguments}".rstrip(), item.summary, "", "flags:"]
    for name in sorted(set(values) - INTERNAL_FLAGS):
        flag = values[name]
        text = (flag.help or "").split(";\n    repeat this option")[0]
        default = "" if flag.default in (None, "", False, []) else f" (now {flag.default})"
        lines.append(f"  --{name}: {text}{default if name != 'token' else ''}")
    lines += ["", "examples:", *(f"  {example}" for example in item.examples)]
    return "\n".join([*lines, "", command.EXIT_STATUS_HELP])


def main(
    argv: list[str], output: TextIO | None = None, progress: TextIO | None = None
) -> command.ExitStatus:
    """Runs the tool with the arguments after the program name and returns the exit status."""
    output, progress = output or sys.stdout, progress or sys.stderr
    if not argv or argv[0] in ("help", "--help", "-h", "-help"):
        print(overview(), file=output)
        return command.ExitStatus.SUCCESS if argv else command.ExitStatus.USAGE
    item = COMMANDS.get(argv[0])
    if item is None:
        print(f"{PROGRAM}: there is no command {argv[0]!r}\n\n{overview()}", file=progress)
        return command.ExitStatus.USAGE
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    command.define_common(values)
    item.define(values)
    try:
        arguments = values([PROGRAM, *argv[1:]])[1:]
        if values.help:
            print(command_help(item, values), file=output)
            return command.ExitStatus.SUCCESS
        return trio.run(item.run, command.Context(values, tuple(arguments), output, progress))
    except flags.Error as error:
        text, status = f"{error}\n(see {PROGRAM} {item.name} --help)", command.ExitStatus.USAGE
    except (command.UsageError, errors.DocumentError) as error:
        text, status = str(error), command.ExitStatus.USAGE
    except (errors.LogError, command.UnreachableError) as error:
        text, status = str(error), command.ExitStatus.UNREACHABLE
    print(f"{PROGRAM} {item.name}: {text}", file=progress)
    return status


def run() -> None:
    """Entry point: exits with the status of `main`."""
    try:
        sys.exit(main(sys.argv[1:]))
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED)
    except BrokenPipeError:
        # The reader, such as head, closed the pipe. Without this the interpreter would print an
        # error when it flushes standard output at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(command.ExitStatus.SUCCESS)


if __name__ == "__main__":
    run()
