"""Golden files: whole sessions as text, compared with a kept copy.

After a wanted change of what is shown, rewrite the files and read their
difference before it is committed:

    SAMPHIREVALE_REWRITE_GOLDEN=1 python -m tests
"""

import difflib
import os
import pathlib
import re
import unittest
from collections.abc import Iterable

DIRECTORY = pathlib.Path(__file__).parent / "golden"

# Set to 1, this environment variable rewrites the files.
REWRITE = "SAMPHIREVALE_REWRITE_GOLDEN"

# Patterns of values that change from run to run, with what stands for them.
Placeholders = Iterable[tuple[str, str]]


def mask(text: str, placeholders: Placeholders) -> str:
    """Returns `text` with each match of a pattern replaced."""
    for pattern, placeholder in placeholders:
        text = re.sub(pattern, placeholder, text)
    return text


def check(case: unittest.TestCase, name: str, text: str) -> None:
    """Fails `case` with a diff unless the golden file `name` holds `text`."""
    path = DIRECTORY / name
    if os.environ.get(REWRITE) == "1":
        path.write_text(text, encoding="utf-8")
    kept = path.read_text(encoding="utf-8") if path.exists() else ""
    if kept == text:
        return
    lines = difflib.unified_diff(
        kept.splitlines(), text.splitlines(), name, "this run", lineterm=""
    )
    case.fail("\n".join([f"{REWRITE}=1 rewrites {name}:", *lines]))
