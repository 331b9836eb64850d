"""Loads YAML into typed structures and reports the line of each error.

Aliases and anchors are refused because nested aliases expand exponentially; duplicate keys are
refused because YAML readers disagree about which of them counts.
"""

import bisect
import copy
import functools
import operator
import re
from typing import TypeVar

import msgspec
import yaml

from buckthornstage import errors

MAX_TEXT_BYTES = 1 << 20
MAX_DEPTH = 20  # levels; the deepest schema has 5

T = TypeVar("T")
Path = tuple[str | int, ...]

_PATH_IN_MESSAGE = re.compile(r" - at `(?:(?P<is_key>key)` in `)?\$(?P<path>[^`]*)`")
_UNKNOWN_FIELD = re.compile(r"unknown field `(?P<key>[^`]*)`")
_PATH_STEP = re.compile(r"\.(?P<key>[^.\[]+)|\[(?P<index>\d+|\.\.\.)\]")


class StrictYamlError(errors.BuckthornstageError):
    """The text is invalid; `line` counts from 1, or is None if unknown."""

    def __init__(self, problem: str, line: int | None = None) -> None:
        super().__init__(f"line {line}: {problem}" if line else problem)
        self.problem = problem
        self.line = line


def load(text: str, into: type[T]) -> T:
    """Parses `text` and converts it to the msgspec type `into`.

    Raises StrictYamlError for oversized or malformed text, aliases, duplicate keys, wrong types,
    missing and unknown keys.
    """
    return load_with_lines(text, into)[0]


def load_with_lines(text: str, into: type[T]) -> tuple[T, dict[Path, int]]:
    """Like `load`, and also returns the line (from 1) of each path, for semantic checks."""
    if len(text.encode("utf-8", "surrogatepass")) > MAX_TEXT_BYTES:
        raise StrictYamlError("the text is longer than 1 MiB")
    value, lines = parse(text)
    try:
        return msgspec.convert(value, into, strict=True), lines
    except msgspec.ValidationError as error:
        message = str(error)
        raise StrictYamlError(message, _line_of(message, value, into, lines)) from error


def parse(text: str) -> tuple[object, dict[Path, int]]:
    """Returns the plain value and the line (from 1) of each path in it."""
    try:
        _refuse_aliases_and_depth(text)
        loader = yaml.SafeLoader(text)
        try:
            node = loader.get_single_node()
            if node is None:
                raise StrictYamlError("the text is empty")
            lines: dict[Path, int] = {}
            return _build(loader, node, (), lines), lines
        finally:
            loader.dispose()
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else None
        problem = ", ".join(text for text in (error.context, error.problem) if text)
        raise StrictYamlError(problem, line) from error
    except (yaml.YAMLError, ValueError, OverflowError) as error:
        raise StrictYamlError(f"not valid YAML: {error}") from error


def _refuse_aliases_and_depth(text: str) -> None:
    """Checks the parser's event stream, so that hostile input is rejected before it is built."""
    depth = 0
    for event in yaml.parse(text, Loader=yaml.SafeLoader):
        line = event.start_mark.line + 1 if event.start_mark else None
        if isinstance(event, yaml.AliasEvent) or getattr(event, "anchor", None):
            raise StrictYamlError("anchors and aliases are not allowed; write the value out", line)
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
            if depth > MAX_DEPTH:
                raise StrictYamlError(f"nested more than {MAX_DEPTH} levels deep", line)
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1


def _build(loader: yaml.SafeLoader, node: yaml.Node, path: Path, lines: dict[Path, int]) -> object:
    lines[path] = node.start_mark.line + 1
    if isinstance(node, yaml.MappingNode):
        return _build_mapping(loader, node, path, lines)
    if isinstance(node, yaml.SequenceNode):
        return [
            _build(loader, item, (*path, index), lines) for index, item in enumerate(node.value)
        ]
    return _build_scalar(loader, node)


def _build_scalar(loader: yaml.SafeLoader, node: yaml.Node) -> object:
    line = node.start_mark.line + 1
    try:
        value = loader.construct_object(node)
    except (AttributeError, LookupError) as error:
        # PyYAML raises these for a value that does not fit the type that its tag names.
        raise StrictYamlError(f"not a value of the type {node.tag}", line) from error
    if isinstance(value, str):
        _refuse_surrogates(value, line)
    return value


def _refuse_surrogates(text: str, line: int) -> None:
    """Refuses what an escape such as `\\ud800` gives, because it cannot be encoded."""
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise StrictYamlError(f"not valid text: {error}", line) from error


def _build_mapping(
    loader: yaml.SafeLoader, node: yaml.MappingNode, path: Path, lines: dict[Path, int]
) -> dict[str, object]:
    result: dict[str, object] = {}
    for key_node, value_node in node.value:
        line = key_node.start_mark.line + 1
        key = key_node.value
        if not isinstance(key_node, yaml.ScalarNode) or key_node.tag != "tag:yaml.org,2002:str":
            raise StrictYamlError("keys must be plain text; put the key in quotes", line)
        _refuse_surrogates(key, line)
        if key in result:
            raise StrictYamlError(f"the key {key!r} occurs twice", line)
        result[key] = _build(loader, value_node, (*path, key), lines)
        lines[(*path, key)] = line
    return result


def line_of_path(path: Path, lines: dict[Path, int]) -> int | None:
    """Line of `path`, or of its deepest ancestor with a known line."""
    known = (path[:length] for length in range(len(path), -1, -1) if path[:length] in lines)
    return next((lines[ancestor] for ancestor in known), None)


def _line_of(message: str, value: object, into: type, lines: dict[Path, int]) -> int | None:
    """Line of the path named in a msgspec message, or of its deepest known ancestor."""
    path_match = _PATH_IN_MESSAGE.search(message)
    path: Path = ()
    for step in _PATH_STEP.finditer(path_match["path"] if path_match else ""):
        if step["index"] == "...":
            following = (*path, _first_invalid_key(message, value, into, path))
        else:
            following = (*path, step["key"] or int(step["index"]))
        if following not in lines:
            break
        path = following
    if path_match and path_match["is_key"]:
        path = (*path, _first_invalid_key(message, value, into, path))
    unknown = _UNKNOWN_FIELD.search(message)
    return line_of_path((*path, unknown["key"]) if unknown else path, lines)


def _first_invalid_key(message: str, value: object, into: type, path: Path) -> str | None:
    """Key of the mapping at `path` that causes the message, which does not contain the key.

    msgspec reports the first error in order, so a binary search over prefixes of the mapping finds
    the key.
    """
    mapping = functools.reduce(operator.getitem, path, value)
    keys = list(mapping)

    def fails(count: int) -> bool:
        prefix = {key: mapping[key] for key in keys[:count]}
        try:
            msgspec.convert(_replaced(value, path, prefix), into, strict=True)
        except msgspec.ValidationError as error:
            return str(error) == message
        return False

    index = bisect.bisect_left(range(1, len(keys) + 1), True, key=fails)
    return keys[index] if index < len(keys) else None


def _replaced(value, path: Path, inner: object):
    """Copy of `value` with `inner` at `path`; everything off the path is shared."""
    if not path:
        return inner
    copied = copy.copy(value)
    copied[path[0]] = _replaced(value[path[0]], path[1:], inner)
    return copied
