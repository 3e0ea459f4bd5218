"""Tests of the table formatting."""

from samphirevale import tables
from tests import base


class TablesTest(base.TestCase):
    """The alignment of columns and the format of cells."""

    def test_alignment(self):
        rows = [["a", 1, True, ["x", "y"]], ["long", 2.5, None, []]]
        self.assertEqual(
            "name    n  ok    list\na       1  true  x,y\nlong  2.5",
            tables.format_table(["name", "n", "ok", "list"], rows),
        )

    def test_no_rows(self):
        self.assertEqual("a  b", tables.format_table(["a", "b"], []))

    def test_control_characters_are_escaped(self):
        text = tables.format_table(["a"], [["\x1b[2J\n"]])
        self.assertEqual("a\n\\x1b[2J\\n", text)
