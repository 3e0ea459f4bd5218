"""Tests of the operators' language: statements and findings."""

from hypothesis import given, settings, strategies

from samphirevale import errors, language
from tests import base

# The expected findings of invalid texts, one line per finding.
GOLDEN_ERRORS = {
    "": ["column 1: expected a statement"],
    " ; ;": ["column 1: expected a statement"],
    "hello": [
        "column 1: expected 'cordon' or 'drain' or 'recall' or 'resume' or "
        "'roll' or 'show' or 'start' or 'stop' or 'uncordon', got hello"
    ],
    "drainx": [
        "column 1: expected 'cordon' or 'drain' or 'recall' or 'resume' or "
        "'roll' or 'show' or 'start' or 'stop' or 'uncordon', got drainx"
    ],
    "drain": [
        "column 6: expected a name or a quoted text, got the end",
    ],
    "drain a b": ["column 9: expected the end, got b"],
    'drain "a;b"; drain ""': [
        'column 20: expected a name of 1 to 64 characters, got ""'
    ],
    'drain "abc': ['column 7: expected a name or a quoted text, got "'],
    "stop pipe x": ["column 6: expected 'pipeline', got pipe"],
    "roll out gen 3 adapter as b7 to p": ["column 27: expected 'as', got b7"],
    "show foo where x = 1; show requests by bar where a = b": [
        "column 6: expected one of instances, endpoints, pipelines, batches, "
        "requests, accounts, orders, recall, configuration, got foo",
        "column 40: expected one of stage, account, pipeline, got bar",
    ],
    "show accounts by stage where nme = 1 where share = 2": [
        "column 18: expected 'by' only with requests, got stage",
        "column 30: expected one of name, share, got nme",
        "column 44: expected 'where' only once, got share",
    ],
    "drain é; show instances where name; recall": [
        "column 7: expected a name or a quoted text, got é",
        "column 35: expected '=', got the end",
        "column 43: expected a name or a quoted text, got the end",
    ],
    "drain a;\nshow instances\n  were name = b": [
        "line 3 column 3: expected 'by' or 'where' or the end, got were"
    ],
}


class LanguageTest(base.TestCase):
    """The statements or the findings of texts."""

    def parse_one(self, text: str):
        (statement,) = language.parse(text)
        return statement.action

    def test_orders(self):
        for text, action in {
            "roll out gen 3 as b7 to generation": language.RollOut(
                "gen", "3", "", "b7", "generation"
            ),
            'ROLL OUT gen "3 b" adapter pt as b7 to generation': (
                language.RollOut("gen", "3 b", "pt", "b7", "generation")
            ),
            "recall b7": language.Recall("b7"),
            "drain engine-1": language.Drain("engine-1"),
            "resume drain": language.Resume("drain"),
            "cordon sul-a": language.Cordon("sul-a"),
            "uncordon sul-a": language.Uncordon("sul-a"),
            "stop pipeline harvest": language.StopPipeline("harvest"),
            "start pipeline harvest": language.StartPipeline("harvest"),
        }.items():
            with self.subTest(text):
                self.assertEqual(action, self.parse_one(text))

    def test_queries(self):
        filters = (
            language.Filter("stage", "encoding"),
            language.Filter("tokens", "4"),
        )
        for text, action in {
            "show instances": language.Show("instances"),
            "show requests where stage = encoding and tokens=4 by stage": (
                language.Show("requests", "stage", filters)
            ),
            "show recall b7 where state = pending": language.Show(
                "recall", "", (language.Filter("state", "pending"),), "b7"
            ),
        }.items():
            with self.subTest(text):
                self.assertEqual(action, self.parse_one(text))

    def test_several_statements(self):
        statements = language.parse('recall "b;7" ; show orders;;')
        self.assertEqual(
            ['recall "b;7"', "show orders"],
            [statement.text for statement in statements],
        )
        self.assertEqual(
            [True, False],
            [statement.is_order() for statement in statements],
        )

    def test_golden_errors(self):
        for text, lines in GOLDEN_ERRORS.items():
            with self.subTest(text):
                with self.assertRaises(errors.InvalidInputError) as caught:
                    language.parse(text)
                found = [str(finding) for finding in caught.exception.findings]
                self.assertEqual(lines, found)

    def test_text_too_long(self):
        with self.assertRaises(errors.InvalidInputError):
            language.parse("x" * (language.TEXT_CHARACTERS + 1))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        strategies.text()
        | strategies.lists(
            strategies.sampled_from(
                [*language.KEYWORDS, *language.SUBJECTS, ";", "=", '"', "b"]
            )
        ).map(" ".join)
    )
    def test_every_text_gives_statements_or_findings(self, text):
        try:
            statements = language.parse(text)
        except errors.InvalidInputError as error:
            self.assertTrue(error.findings)
        else:
            self.assertTrue(statements)
