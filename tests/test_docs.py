"""Tests that the documentation covers modules, settings and commands."""

import pathlib

from samphirevale import cmdline, language, metrics, settings
from tests import base

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"


class MaintainingTest(base.TestCase):
    """docs/MAINTAINING.md."""

    def test_all_modules_are_documented(self):
        text = (DOCS / "MAINTAINING.md").read_text(encoding="utf-8")
        root = DOCS.parent
        paths = {
            str(path.relative_to(folder).with_suffix(""))
            for folder in (root / "samphirevale", root / "lab")
            for path in folder.rglob("*.py")
            if path.stem != "__init__"
        }
        missing = [path for path in sorted(paths) if f"`{path}`" not in text]
        self.assertEqual([], missing)


class OperationsTest(base.TestCase):
    """docs/OPERATIONS.md."""

    def setUp(self):
        self.text = (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")

    def check_documented(self, names):
        missing = [name for name in names if f"`{name}" not in self.text]
        self.assertEqual([], missing)

    def test_settings(self):
        for settings_type in (settings.EntrySettings, settings.SidecarSettings):
            fields = settings.list_fields(settings_type)
            self.check_documented(field.name + "`" for field in fields)

    def test_metrics(self):
        self.check_documented(
            family.name
            for family in vars(metrics).values()
            if isinstance(family, metrics.BoundedMetric)
        )

    def test_language(self):
        self.check_documented(language.SUBJECTS)
        for columns in (language.SUBJECTS | language.GROUPS).values():
            self.assertIn(f"| {', '.join(columns)} |", self.text)

    def test_commands(self):
        self.check_documented(cmdline.COMMANDS)
