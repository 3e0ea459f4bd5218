"""The operators' language: parsed to typed statements, or to findings.

    show SUBJECT [by GROUP] [where FIELD = VALUE [and ...]]
    show recall BATCH [where ...]
    roll out MODEL VERSION [adapter ADAPTER] as BATCH to POOL
    recall BATCH    drain ENDPOINT    resume ENDPOINT
    stop pipeline PIPELINE    start pipeline PIPELINE

Statements are separated by `;`. Keywords stand in either case. A value with
other characters than letters, digits and `._:/@+-` stands in double quotes.
"""

import re
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import lark

from samphirevale import errors

# The most characters of a text.
TEXT_CHARACTERS = 10_000

# The most characters of a name in a statement.
NAME_CHARACTERS = 64

# Characters of a word that needs no quotes, as a class of a regexp.
_WORD_CLASS = r"[A-Za-z0-9._:\/@+-]"

KEYWORDS = (
    *("show", "by", "where", "and"),
    *("roll", "out", "adapter", "as", "to"),
    *("recall", "drain", "resume", "stop", "start", "pipeline"),
)

GRAMMAR = r"""
statement: (show | show_recall
           | roll_out | recall | drain | resume | stop | start)

show: _SHOW WORD clause*
show_recall: _SHOW _RECALL name clause*
?clause: by | where
by: _BY WORD
where: _WHERE filter (_AND filter)*
filter: WORD "=" name

roll_out: _ROLL _OUT name name [_ADAPTER name] _AS name _TO name
recall: _RECALL name
drain: _DRAIN name
resume: _RESUME name
stop: _STOP _PIPELINE name
start: _START _PIPELINE name

name: WORD | STRING

STRING: /"[^"]*"/
%ignore /\s+/
"""
GRAMMAR += f"WORD: /{_WORD_CLASS}+/\n"
# A keyword goes before a word, but never stands for the start of one.
GRAMMAR += "".join(
    f"_{word.upper()}.2: /{word}(?!{_WORD_CLASS})/i\n" for word in KEYWORDS
)

# What a terminal is called in a finding, where it is not a keyword.
TERMINALS = {
    "WORD": "a name",
    "STRING": "a quoted text",
    "EQUAL": "'='",
    "$END": "the end",
}

# The columns of each subject of `show`, which are also its filters' fields.
SUBJECTS = {
    "instances": (
        "name",
        "role",
        "data_centre",
        "state",
        "revision",
        "heartbeat_age_ms",
    ),
    "endpoints": (
        "name",
        "pool",
        "data_centre",
        "state",
        "running",
        "waiting",
        "limit",
        "service_ms",
        "wait_ms",
        "batches",
    ),
    "pipelines": ("name", "state", "deadline_ms", "stages"),
    "batches": (
        "name",
        "model",
        "version",
        "adapter",
        "pool",
        "state",
        "revision",
        "endpoints",
    ),
    "requests": (
        "requests",
        "in_time",
        "attainment",
        "not_run",
        "not_completed",
        "unknown",
        "heard",
        "age_ms",
    ),
    "accounts": ("name", "share"),
    "orders": ("id", "text", "revision"),
    "recall": ("instance", "role", "state", "revision", "heard_age_ms"),
    "configuration": ("item", "value"),
}

# The columns of `show requests by ...`: attainment, and cost by stage.
_REQUEST_COLUMNS = SUBJECTS["requests"]
_COST_COLUMNS = ("busy_ms", "wasted_ms", "tokens", "wasted_tokens")
GROUPS = {
    "stage": (
        *("stage", "attempts", "failed"),
        *_COST_COLUMNS,
        *("heard", "age_ms"),
    ),
    "account": ("account", *_REQUEST_COLUMNS, *_COST_COLUMNS),
    "pipeline": ("pipeline", *_REQUEST_COLUMNS),
}


class Filter(NamedTuple):
    """One condition: the field has this value, or its list holds it."""

    field: str
    value: str


class Show(NamedTuple):
    """A query.

    Attributes:
        subject: one of SUBJECTS.
        group: one of GROUPS for `requests`; empty for none.
        filters: all of them hold for a row that is shown.
        batch: the batch of the subject `recall`; empty otherwise.
    """

    subject: str
    group: str = ""
    filters: tuple[Filter, ...] = ()
    batch: str = ""


# The types of orders by their verbs, which are also their grammar rules.
ORDER_TYPES: dict[str, type] = {}


def _register(verb: str) -> Callable[[type], type]:
    """Makes a NamedTuple the order of a verb, with `verb` as attribute.

    Its fields are the names that follow in the grammar, in their order.
    """

    def add(order_type: type) -> type:
        ORDER_TYPES[verb] = order_type
        order_type.verb = verb
        return order_type

    return add


@_register("roll_out")
class RollOut(NamedTuple):
    """Loads a model's version as a batch on a pool's engines.

    Attributes:
        model: the model.
        version: its version.
        adapter: the adapter; empty for none.
        batch: the id of the new batch.
        pool: the pool of engines.
    """

    model: str
    version: str
    adapter: str
    batch: str
    pool: str


@_register("recall")
class Recall(NamedTuple):
    """Recalls a batch for ever."""

    batch: str


@_register("drain")
class Drain(NamedTuple):
    """Gives an endpoint no new work."""

    endpoint: str


@_register("resume")
class Resume(NamedTuple):
    """Gives a drained endpoint work again."""

    endpoint: str


@_register("stop")
class StopPipeline(NamedTuple):
    """Refuses new requests of a pipeline."""

    pipeline: str


@_register("start")
class StartPipeline(NamedTuple):
    """Takes new requests of a stopped pipeline again."""

    pipeline: str


class Statement(NamedTuple):
    """A parsed statement.

    Attributes:
        text: as it was written.
        action: a Show or one of ORDER_TYPES.
    """

    text: str
    action: Any

    def is_order(self) -> bool:
        """Tells whether it changes something."""
        return not isinstance(self.action, Show)


def list_columns(query: Show) -> tuple[str, ...]:
    """Returns the columns of a query's table."""
    return GROUPS[query.group] if query.group else SUBJECTS[query.subject]


def parse(text: str) -> list[Statement]:
    """Returns the statements of a text, at least one.

    Raises:
        errors.InvalidInputError: with every finding; its place is the
            column, counted from 1, with the line if there are several.
    """
    if len(text) > TEXT_CHARACTERS:
        expected = f"at most {TEXT_CHARACTERS} characters"
        raise errors.InvalidInputError(
            [errors.Finding("text", expected, str(len(text)))]
        )
    statements = []
    findings = []
    for start, part in _split(text):
        reader = _Reader(text, start)
        action = reader.read(part)
        statements.append(Statement(part.strip(), action))
        findings.extend(reader.list_findings())
    if not statements:
        findings.append(errors.Finding("column 1", "a statement"))
    if findings:
        raise errors.InvalidInputError(findings)
    return statements


def _split(text: str) -> Iterator[tuple[int, str]]:
    """Yields offset and text of each statement that is not blank."""
    start = 0
    # A `;` inside quotes separates nothing.
    for match in re.finditer(r'"[^"]*"|(;)|\Z', text):
        if match.group(1) is None and match.end() < len(text):
            continue
        end = len(text) if match.group(1) is None else match.start()
        if text[start:end].strip():
            yield start, text[start:end]
        start = match.end()


_parser = lark.Lark(
    GRAMMAR, parser="lalr", start="statement", maybe_placeholders=True
)


class _Reader:
    """Reads one statement and collects what is wrong with it."""

    def __init__(self, text: str, start: int):
        self._text = text
        self._start = start
        self._found: list[tuple[int, errors.Finding]] = []

    def read(self, part: str) -> Any:
        """Returns the action of a statement, or None with findings."""
        try:
            tree = _parser.parse(part).children[0]
        except lark.exceptions.UnexpectedInput as error:
            self._report_syntax(error, len(part.rstrip()))
            return None
        if tree.data in ("show", "show_recall"):
            return self._read_show(tree)
        order_type = ORDER_TYPES[tree.data]
        return order_type(*(self._read_name(item) for item in tree.children))

    def list_findings(self) -> list[errors.Finding]:
        """Returns what is wrong, in the order of the columns."""
        return [finding for _, finding in sorted(self._found)]

    def _report_syntax(
        self, error: lark.exceptions.UnexpectedInput, end: int
    ) -> None:
        if isinstance(error, lark.exceptions.UnexpectedToken):
            terminals = error.accepts or error.expected
            got = str(error.token)
            offset = error.token.start_pos if got else end
        else:
            terminals = error.allowed
            offset = error.pos_in_stream
            got = self._text[self._start + offset]
        expected = " or ".join(sorted({_describe(item) for item in terminals}))
        self._report(offset, expected, got or "the end")

    def _read_show(self, tree: lark.Tree) -> Show:
        subject, batch, clauses = "recall", "", tree.children[1:]
        if tree.data == "show_recall":
            batch = self._read_name(tree.children[0])
        else:
            subject = self._read_word(tree.children[0], SUBJECTS)
        group, fields = self._read_group(clauses, subject)
        filters = self._read_filters(clauses, fields)
        return Show(subject, group, filters, batch)

    def _read_group(
        self, clauses: list[lark.Tree], subject: str
    ) -> tuple[str, tuple[str, ...]]:
        """Returns the group and the fields that filters may name."""
        group, fields = "", SUBJECTS.get(subject, ())
        for clause in self._choose(clauses, "by"):
            word = clause.children[0]
            if subject in SUBJECTS and subject != "requests":
                self._report(word.start_pos, "'by' only with requests", word)
                continue
            group = self._read_word(word, GROUPS)
            fields = GROUPS.get(group, ())
        return group, fields

    def _read_filters(
        self, clauses: list[lark.Tree], fields: tuple[str, ...]
    ) -> tuple[Filter, ...]:
        filters = []
        for clause in self._choose(clauses, "where"):
            for field, value in (item.children for item in clause.children):
                # Without fields, the subject or group is wrong already.
                name = self._read_word(field, fields) if fields else field
                filters.append(Filter(str(name), _unquote(value.children[0])))
        return tuple(filters)

    def _choose(self, clauses: list[lark.Tree], kind: str) -> list[lark.Tree]:
        """Returns the clauses of a kind and reports all after the first."""
        chosen = [clause for clause in clauses if clause.data == kind]
        for clause in chosen[1:]:
            first = next(clause.scan_values(lambda _: True))
            self._report(first.start_pos, f"'{kind}' only once", first)
        return chosen

    def _read_word(self, token: lark.Token, options: Any) -> str:
        word = token.lower()
        if word not in options:
            expected = "one of " + ", ".join(options)
            self._report(token.start_pos, expected, token)
        return word

    def _read_name(self, tree: lark.Tree | None) -> str:
        if tree is None:
            return ""
        token = tree.children[0]
        name = _unquote(token)
        if not 1 <= len(name) <= NAME_CHARACTERS or not name.isprintable():
            expected = f"a name of 1 to {NAME_CHARACTERS} characters"
            self._report(token.start_pos, expected, token)
        return name

    def _report(self, offset: int, expected: str, got: str) -> None:
        place = _name_place(self._text, self._start + offset)
        finding = errors.Finding(place, expected, str(got)[:NAME_CHARACTERS])
        self._found.append((offset, finding))


def _unquote(token: lark.Token) -> str:
    return token[1:-1] if token.type == "STRING" else str(token)


def _describe(terminal: str) -> str:
    return TERMINALS.get(terminal) or f"'{terminal.lower().strip('_')}'"


def _name_place(text: str, offset: int) -> str:
    """Returns the place of a character, for people."""
    line_start = text.rfind("\n", 0, offset) + 1
    column = f"column {offset - line_start + 1}"
    if "\n" not in text.strip():
        return column
    return f"line {text.count(chr(10), 0, offset) + 1} {column}"
