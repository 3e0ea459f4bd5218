"""Tables in pages of the documentation that a program rewrites."""

import pathlib
from collections.abc import Sequence


class PageError(Exception):
    """The page has no place for the table."""


def build_marker(name: str, end: bool = False) -> str:
    """Returns the comment before or after a table."""
    return f"<!-- {'end' if end else 'begin'} {name} -->"


def build_table(
    head: Sequence[str], rows: Sequence[Sequence[str]]
) -> list[str]:
    """Returns the lines of a table in Markdown."""
    lines = [head, ["---"] * len(head), *rows]
    return [f"| {' | '.join(cells)} |" for cells in lines]


def replace_between(text: str, name: str, lines: Sequence[str]) -> str:
    """Returns a page's text with new lines between the markers of a name.

    Raises:
        PageError: the markers are missing, doubled or in the wrong order.
    """
    begin, end = build_marker(name), build_marker(name, end=True)
    if (text.count(begin), text.count(end)) != (1, 1):
        raise PageError(f"the page needs {begin} and {end} once each")
    before, _, rest = text.partition(begin)
    _, found, after = rest.partition(end)
    if not found:
        raise PageError(f"{end} stands before {begin}")
    body = "\n".join(lines)
    return f"{before}{begin}\n\n{body}\n\n{end}{after}"


def rewrite(path: pathlib.Path, name: str, lines: Sequence[str]) -> None:
    """Puts new lines between the markers of a page on disk."""
    text = path.read_text(encoding="utf-8")
    path.write_text(replace_between(text, name, lines), encoding="utf-8")
