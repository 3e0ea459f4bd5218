"""Parser of the operators' language.

    show SUBJECT [by GROUP] [where FIELD = VALUE [and ...]]
    show recall BATCH [where ...]
    roll out MODEL VERSION [adapter ADAPTER] as BATCH to POOL
    recall BATCH    drain ENDPOINT    resume ENDPOINT
    cordon DATA_CENTRE    uncordon DATA_CENTRE
    stop pipeline PIPELINE    start pipeline PIPELINE

Statements are separated by `;`. Keywords are case-insensitive. A value that
contains characters other than letters, digits and `._:/@+-` must be enclosed
in double quotes. A statement that does not parse is reported as findings.
"""

import re
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import lark

from samphirevale import errors

# The maximum length of an input text.
TEXT_CHARACTERS = 10_000

# The maximum length of a name in a statement.
NAME_CHARACTERS = 64

# The regexp character class of words that need no quotes.
_WORD_CLASS = r"[A-Za-z0-9._:\/@+-]"

KEYWORDS = (
    *("show", "by", "where", "and"),
    *("roll", "out", "adapter", "as", "to"),
    *("recall", "drain", "resume", "stop", "start", "pipeline"),
    *("cordon", "uncordon"),
)

GRAMMAR = r"""
statement: (show | show_recall
           | roll_out | recall | drain | resume | cordon | uncordon
           | stop | start)

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
cordon: _CORDON name
uncordon: _UNCORDON name
stop: _STOP _PIPELINE name
start: _START _PIPELINE name

name: WORD | STRING

STRING: /"[^"]*"/
%ignore /\s+/
"""
GRAMMAR += f"WORD: /{_WORD_CLASS}+/\n"
# A keyword has priority over WORD, but does not match a prefix of a word.
GRAMMAR += "".join(
    f"_{word.upper()}.2: /{word}(?!{_WORD_CLASS})/i\n" for word in KEYWORDS
)

# The names of terminals in findings. Keywords are shown as themselves.
TERMINALS = {
    "WORD": "a name",
    "STRING": "a quoted text",
    "EQUAL": "'='",
    "$END": "the end",
}

# The columns of each subject of `show`. Filters may use the same names.
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

# The columns of each `show requests by GROUP`: outcomes and costs.
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
    """A condition: the field equals the value, or is a list containing it."""

    field: str
    value: str


class Show(NamedTuple):
    """A query.

    Attributes:
        subject: one of SUBJECTS.
        group: one of GROUPS for the subject `requests`; empty for none.
        filters: the conditions that a row must all fulfil to be shown.
        batch: the batch id for the subject `recall`; empty otherwise.
    """

    subject: str
    group: str = ""
    filters: tuple[Filter, ...] = ()
    batch: str = ""


# The order types by verb. A verb is also the name of its grammar rule.
ORDER_TYPES: dict[str, type] = {}


def _register(verb: str) -> Callable[[type], type]:
    """Registers a NamedTuple as the order type of a verb and sets its `verb`.

    The fields must match the names in the verb's grammar rule, in order.
    """

    def add(order_type: type) -> type:
        ORDER_TYPES[verb] = order_type
        order_type.verb = verb
        return order_type

    return add


@_register("roll_out")
class RollOut(NamedTuple):
    """Loads a version of a model, as a new batch, on the engines of a pool.

    Attributes:
        model: the model's name.
        version: the model's version.
        adapter: the adapter's name; empty for none.
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
    """Recalls a batch permanently."""

    batch: str


@_register("drain")
class Drain(NamedTuple):
    """Stops giving an endpoint new work."""

    endpoint: str


@_register("resume")
class Resume(NamedTuple):
    """Gives a drained endpoint new work again."""

    endpoint: str


@_register("cordon")
class Cordon(NamedTuple):
    """Stops giving new work to the endpoints of a data centre."""

    data_centre: str


@_register("uncordon")
class Uncordon(NamedTuple):
    """Gives the endpoints of a cordoned data centre new work again."""

    data_centre: str


@_register("stop")
class StopPipeline(NamedTuple):
    """Refuses new requests of a pipeline."""

    pipeline: str


@_register("start")
class StartPipeline(NamedTuple):
    """Accepts new requests of a stopped pipeline again."""

    pipeline: str


class Statement(NamedTuple):
    """A parsed statement.

    Attributes:
        text: the statement's source text.
        action: a Show or one of ORDER_TYPES.
    """

    text: str
    action: Any

    def is_order(self) -> bool:
        """Returns whether the statement is an order rather than a query."""
        return not isinstance(self.action, Show)


def list_columns(query: Show) -> tuple[str, ...]:
    """Returns the columns of a query's table."""
    return GROUPS[query.group] if query.group else SUBJECTS[query.subject]


def parse(text: str) -> list[Statement]:
    """Returns the statements of a text, at least one.

    Raises:
        errors.InvalidInputError: the text is not valid. The error carries
            all findings. The place of a finding is the column, counted from
            1, and also the line if the text has several lines.
    """
    if len(text) > TEXT_CHARACTERS:
        expected = f"at most {TEXT_CHARACTERS} characters"
        raise errors.InvalidInputError(
            [errors.Finding("text", expected, str(len(text)))]
        )
    statements = []
    findings = []
    for start, part in _split(text):
        reader = _StatementReader(text, start)
        action = reader.read(part)
        statements.append(Statement(part.strip(), action))
        findings.extend(reader.list_findings())
    if not statements:
        findings.append(errors.Finding("column 1", "a statement"))
    if findings:
        raise errors.InvalidInputError(findings)
    return statements


def _split(text: str) -> Iterator[tuple[int, str]]:
    """Yields the offset and the text of each statement that is not blank."""
    start = 0
    # A `;` inside quotes is not a separator.
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


class _StatementReader:
    """Parses one statement and collects its findings."""

    def __init__(self, text: str, start: int):
        self._text = text
        self._start = start
        self._located_findings: list[tuple[int, errors.Finding]] = []

    def read(self, part: str) -> Any:
        """Returns the action of a statement, or None after a syntax error."""
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
        """Returns the findings, sorted by column."""
        return [finding for _, finding in sorted(self._located_findings)]

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
        expected = " or ".join(
            sorted({_describe_terminal(item) for item in terminals})
        )
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
        """Returns the group and the fields that filters may use."""
        group, fields = "", SUBJECTS.get(subject, ())
        for clause in self._select_clauses(clauses, "by"):
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
        for clause in self._select_clauses(clauses, "where"):
            for field, value in (item.children for item in clause.children):
                # There are no fields if the subject or group is invalid,
                # which has been reported already.
                name = self._read_word(field, fields) if fields else field
                filters.append(Filter(str(name), _unquote(value.children[0])))
        return tuple(filters)

    def _select_clauses(
        self, clauses: list[lark.Tree], kind: str
    ) -> list[lark.Tree]:
        """Returns the clauses of a kind and reports all but the first."""
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
        place = _format_position(self._text, self._start + offset)
        finding = errors.Finding(place, expected, str(got)[:NAME_CHARACTERS])
        self._located_findings.append((offset, finding))


def _unquote(token: lark.Token) -> str:
    return token[1:-1] if token.type == "STRING" else str(token)


def _describe_terminal(terminal: str) -> str:
    return TERMINALS.get(terminal) or f"'{terminal.lower().strip('_')}'"


def _format_position(text: str, offset: int) -> str:
    """Returns the human-readable position of a character."""
    line_start = text.rfind("\n", 0, offset) + 1
    column = f"column {offset - line_start + 1}"
    if "\n" not in text.strip():
        return column
    return f"line {text.count(chr(10), 0, offset) + 1} {column}"
