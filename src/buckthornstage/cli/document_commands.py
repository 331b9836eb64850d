"""Sub-commands for keys and section files: keygen, check, diff."""

import os

from absl import flags

from buckthornstage.cli import command, log_state
from buckthornstage.document import (
    acceptance,
    diff,
    schema,
    signing,
    state,
    validation,
    yaml_loader,
)


def parse_section(context: command.Context) -> schema.SectionName:
    """The section that --section names; raises UsageError."""
    given = context.required("section")
    try:
        return schema.SectionName(given)
    except ValueError as error:
        known = ", ".join(schema.SectionName)
        raise command.UsageError(f"--section: {given!r} is not one of {known}") from error


def load_body(context: command.Context, section: schema.SectionName) -> bytes:
    """Canonical body of the FILE argument; raises UsageError with file and line."""
    text = context.file_argument()
    try:
        return yaml_loader.load_section(text, section)
    except yaml_loader.SectionError as error:
        name = context.arguments[0]
        where = f"{name}:{error.line}" if error.line else name
        raise command.UsageError(f"{where}: {error.problem}") from error


def _define_keygen(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "out", "", "file for the private key; it must not exist", flag_values=values
    )


async def _keygen(context: command.Context) -> command.ExitStatus:
    context.reject_arguments()
    path = context.required("out")
    key = signing.generate_key()
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        with open(descriptor, "wb") as file:
            file.write(signing.private_key_pem(key))
    except OSError as error:
        raise command.UsageError(f"--out: the private key cannot be written: {error}") from error
    public = signing.public_key_text(key)
    if context.values.json:
        context.emit_json({"public_key": public, "private_key_file": path})
    else:
        context.emit(public)
        context.report(f"private key in {path}; add the public key to your team in section teams")
    return command.ExitStatus.SUCCESS


async def _check(context: command.Context) -> command.ExitStatus:
    section = parse_section(context)
    body = load_body(context, section)
    problems: list[str] = []
    if context.values.log:
        async with log_state.open_log(context) as client:
            view = log_state.ConfigView(context, client)
            await view.catch_up()
        sections = acceptance.sections_of(view.fold.state)
        sections[section] = schema.decode_section(section, body)
        problems = list(validation.document_problems(sections))
    if context.values.json:
        context.emit_json({"section": section, "bytes": len(body), "problems": problems})
    else:
        for problem in problems:
            context.emit(f"{context.arguments[0]}: {problem}")
        if not problems:
            scope = "with the sections in force" if context.values.log else "in itself"
            context.emit(f"{context.arguments[0]}: section {section} is valid {scope}")
    return command.ExitStatus.REFUSED if problems else command.ExitStatus.SUCCESS


def diff_lines(
    in_force: state.DocumentState, section: schema.SectionName, body: bytes, new_label: str
) -> list[str]:
    """Lines of the diff from the section in force to a new body."""
    current = in_force.sections.get(section)
    if current is None:
        return diff.difference(None, body, f"{section} (no content)", new_label)
    label = f"{section} at offset {current.offset} by {current.author} of {current.team}"
    return diff.difference(current.body, body, label, new_label)


async def _diff(context: command.Context) -> command.ExitStatus:
    section = parse_section(context)
    body = load_body(context, section)
    async with log_state.open_log(context) as client:
        view = log_state.ConfigView(context, client)
        await view.catch_up()
    lines = diff_lines(view.fold.state, section, body, context.arguments[0])
    if context.values.json:
        current = view.fold.state.sections.get(section)
        context.emit_json(
            {"section": section, "offset": current.offset if current else 0, "lines": lines}
        )
    else:
        for line in lines:
            context.emit(line)
    return command.ExitStatus.REFUSED if lines else command.ExitStatus.SUCCESS


COMMANDS = (
    command.Command(
        "keygen",
        "",
        "make an Ed25519 key pair; prints the public key",
        ("buckthornstage keygen --out=web.pem",),
        _define_keygen,
        _keygen,
    ),
    command.Command(
        "check",
        "FILE",
        "check a section file; with --log also against the other sections in force",
        (
            "buckthornstage check routing.yaml --section=routing",
            "buckthornstage check routing.yaml --section=routing --log=http://10.0.0.9:7400 "
            "--root_key=root.pub",
        ),
        command.define_section,
        _check,
    ),
    command.Command(
        "diff",
        "FILE",
        "show what a section file changes in the section in force; status 1 when it differs",
        ("buckthornstage diff limits.yaml --section=limits --log=http://10.0.0.9:7400",),
        command.define_section,
        _diff,
    ),
)
