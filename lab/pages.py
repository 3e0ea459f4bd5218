"""Builds tables in Markdown and replaces them in documentation pages."""

import pathlib
from collections.abc import Sequence


class PageError(Exception):
    """The markers of a table are missing, duplicated or in wrong order."""


def build_marker(name: str, end: bool = False) -> str:
    """Returns the comment that marks the begin or the end of a table."""
    return f"<!-- {'end' if end else 'begin'} {name} -->"


def build_table(
    head: Sequence[str], rows: Sequence[Sequence[str]]
) -> list[str]:
    """Returns the lines of a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return [f"| {' | '.join(cells)} |" for cells in lines]


def replace_between(text: str, name: str, lines: Sequence[str]) -> str:
    """Returns a page's text with the lines between a table's markers replaced.

    Raises:
        PageError: the markers are missing, duplicated or in the wrong order.
    """
    begin, end = build_marker(name), build_marker(name, end=True)
    if (text.count(begin), text.count(end)) != (1, 1):
        raise PageError(f"the page must contain {begin} and {end} once each")
    before, _, rest = text.partition(begin)
    _, found, after = rest.partition(end)
    if not found:
        raise PageError(f"{end} is before {begin}")
    body = "\n".join(lines)
    return f"{before}{begin}\n\n{body}\n\n{end}{after}"


def rewrite(path: pathlib.Path, name: str, lines: Sequence[str]) -> None:
    """Replaces the lines between a table's markers in a file."""
    text = path.read_text(encoding="utf-8")
    path.write_text(replace_between(text, name, lines), encoding="utf-8")
