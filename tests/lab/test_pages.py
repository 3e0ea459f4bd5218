"""Tests of building and replacing tables in pages."""

import pathlib
import tempfile

from lab import pages, slopes
from tests import base

PAGE = """# A page

<!-- begin slopes -->
old
<!-- end slopes -->

after
"""


class ReplaceTest(base.TestCase):
    """Tests replace_between and rewrite."""

    def test_only_lines_between_the_markers_change(self):
        text = pages.replace_between(PAGE, "slopes", ["| a |", "| b |"])
        self.assertEqual(
            "# A page\n\n<!-- begin slopes -->\n\n| a |\n| b |\n\n"
            "<!-- end slopes -->\n\nafter\n",
            text,
        )

    def test_replacing_twice_changes_nothing(self):
        once = pages.replace_between(PAGE, "slopes", ["new"])
        self.assertEqual(once, pages.replace_between(once, "slopes", ["new"]))

    def test_wrong_markers(self):
        begin, end = "<!-- begin slopes -->", "<!-- end slopes -->"
        for text in ("", begin, end, f"{end}{begin}", f"{begin}{PAGE}"):
            with (
                self.subTest(text=text),
                self.assertRaises(pages.PageError),
            ):
                pages.replace_between(text, "slopes", ["new"])

    def test_file(self):
        with tempfile.TemporaryDirectory() as name:
            path = pathlib.Path(name) / "page.md"
            path.write_text(PAGE, encoding="utf-8")
            pages.rewrite(path, "slopes", ["new"])
            self.assertIn("\nnew\n", path.read_text(encoding="utf-8"))


class TableTest(base.TestCase):
    """Tests build_table and the markers in the page."""

    def test_table(self):
        lines = pages.build_table(("a", "b"), [("1", "2")])
        self.assertEqual(["| a | b |", "| --- | --- |", "| 1 | 2 |"], lines)

    def test_page_has_the_markers(self):
        text = slopes.PAGE.read_text(encoding="utf-8")
        for name in slopes.TABLES:
            pages.replace_between(text, name, [])
