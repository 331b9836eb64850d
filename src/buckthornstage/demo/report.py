"""Table of measured figures with their requirements."""

import dataclasses
import enum


class Verdict(enum.StrEnum):
    """Whether a figure meets its requirement; NONE for a figure without one."""

    MET = "met"
    NOT_MET = "NOT MET"
    NONE = ""


@dataclasses.dataclass(frozen=True)
class Row:
    """One figure; the run fails only if the requirement of a decisive row is not met."""

    name: str
    figure: str
    requirement: str = ""
    verdict: Verdict = Verdict.NONE
    is_decisive: bool = True


class Report:
    """Rows in the order in which they were added."""

    def __init__(self) -> None:
        self.rows: list[Row] = []

    def add(
        self,
        name: str,
        figure: str,
        requirement: str = "",
        is_met: bool | None = None,
        is_decisive: bool = True,
    ) -> None:
        """Adds a row; `is_met` is None for a figure without a requirement."""
        verdicts = {None: Verdict.NONE, True: Verdict.MET, False: Verdict.NOT_MET}
        self.rows.append(Row(name, figure, requirement, verdicts[is_met], is_decisive))

    @property
    def is_met(self) -> bool:
        """Whether every decisive requirement is met."""
        return not any(row.is_decisive and row.verdict is Verdict.NOT_MET for row in self.rows)

    def text(self) -> str:
        """The table."""
        header = ("figure", "measured", "required", "")
        lines = [(row.name, row.figure, row.requirement, row.verdict) for row in self.rows]
        return table(header, lines)


def table(header: tuple[str, ...], lines: list[tuple[str, ...]]) -> str:
    """Text table: columns as wide as their longest cell, and a line below the header."""
    widths = [max(map(len, column)) for column in zip(header, *lines, strict=True)]
    rows = [header, tuple("-" * width for width in widths), *lines]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    )
