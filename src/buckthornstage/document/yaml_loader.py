"""Converts YAML written by an operator to the canonical body of a section."""

from buckthornstage import errors, strict_yaml
from buckthornstage.document import schema, validation


class SectionError(errors.DocumentError):
    """The text of a section is invalid; `line` counts from 1, or is None if unknown."""

    def __init__(self, problem: str, line: int | None = None) -> None:
        super().__init__(f"line {line}: {problem}" if line else problem)
        self.problem = problem
        self.line = line


def load_section(text: str, section: str) -> bytes:
    """Returns the canonical JSON of a section.

    Raises SectionError, with the line if known, for malformed or oversized text, aliases, duplicate
    or unknown keys, wrong types, and violations of the rules for a single section.
    """
    try:
        name = schema.SectionName(section)
    except ValueError as error:
        known = ", ".join(schema.SectionName)
        raise SectionError(f"there is no section {section!r}; use one of {known}") from error
    try:
        value, lines = strict_yaml.load_with_lines(text, schema.SECTION_TYPES[name])
    except strict_yaml.StrictYamlError as error:
        raise SectionError(error.problem, error.line) from error
    for path, problem in validation.section_problems(value):
        raise SectionError(problem, strict_yaml.line_of_path(path, lines))
    body = schema.encode_section(value)
    if len(body) > schema.MAX_BODY_BYTES:
        raise SectionError(f"the section has {len(body)} bytes; the limit is 1 MiB")
    # Rejects values that YAML can express and JSON cannot, such as .nan.
    schema.decode_section(name, body)
    return body
