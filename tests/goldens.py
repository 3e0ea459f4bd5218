"""Golden files: complete sessions as text, compared with a stored copy.

After an intended change of the output, rewrite the files and review the diff
before committing it:

    SAMPHIREVALE_REWRITE_GOLDEN=1 python -m tests
"""

import difflib
import os
import pathlib
import re
import unittest
from collections.abc import Iterable

DIRECTORY = pathlib.Path(__file__).parent / "golden"

# The environment variable that, if set to 1, rewrites the files.
REWRITE = "SAMPHIREVALE_REWRITE_GOLDEN"

# Patterns of values that differ between runs, with their replacements.
Placeholders = Iterable[tuple[str, str]]


def mask(text: str, placeholders: Placeholders) -> str:
    """Returns `text` with each match of a pattern replaced."""
    for pattern, placeholder in placeholders:
        text = re.sub(pattern, placeholder, text)
    return text


def check(case: unittest.TestCase, name: str, text: str) -> None:
    """Fails `case` with a diff unless the golden file `name` equals `text`."""
    path = DIRECTORY / name
    if os.environ.get(REWRITE) == "1":
        path.write_text(text, encoding="utf-8")
    stored = path.read_text(encoding="utf-8") if path.exists() else ""
    if stored == text:
        return
    lines = difflib.unified_diff(
        stored.splitlines(), text.splitlines(), name, "this run", lineterm=""
    )
    case.fail("\n".join([f"{REWRITE}=1 rewrites {name}:", *lines]))
