"""The tool `samphirevale`, for callers and operators.

Addresses come by flag or environment, tokens by environment alone:
SAMPHIREVALE_URL (callers' port), SAMPHIREVALE_ADMIN_URL (admin port),
SAMPHIREVALE_STORE_URL (the platform's object API), SAMPHIREVALE_TOKEN (an
account's token), SAMPHIREVALE_OPERATOR_TOKEN (on a sidecar's admin port, the
peer secret).

Exit codes: 0 done; 1 failed; 2 wrong input, every finding printed; 3 refused
and safe to send again; 4 not known whether it ran; 5 an answer that is not
whole.
"""

import functools
import json
import os
import sys
from collections.abc import Callable, Sequence
from typing import Any

import curio
import defopt

from samphirevale import (
    client,
    configuration,
    daemon,
    errors,
    language,
    loading,
    orders,
    output,
    rules,
    settings,
    stories,
    tables,
)
from samphirevale.adapters import clock, objects

# How long a load may take against a store that fails, in seconds.
LOAD_SECONDS = 30.0

# What a request's file may hold; the account is for the reader, as the token
# tells it.
FILE_FIELDS = ("account", "pipeline", "idempotency_key", "request")


def main(argv: list[str] | None = None) -> None:
    """Runs `samphirevale` and exits with its code."""
    check_commands = {
        role.name: daemon.build_command(role, check_settings)
        for role in daemon.ROLES
    }
    code = defopt.run(
        {**COMMANDS, "check-settings": check_commands},
        argv=argv,
        short={},
        cli_options="has_default",
        show_defaults=False,
        no_negated_flags=True,
    )
    sys.exit(code)


# The subcommands by name.
COMMANDS: dict[str, Callable[..., int]] = {}


def _command(name: str) -> Callable[[Callable[..., int]], Callable[..., int]]:
    """Registers a subcommand; its errors are printed and become its code."""

    def add(function: Callable[..., int]) -> Callable[..., int]:
        @functools.wraps(function)
        def run(*args: Any, **flags: Any) -> int:
            try:
                return function(*args, **flags)
            except errors.SamphirevaleError as error:
                return output.report_error(error)

        COMMANDS[name] = run
        return run

    return add


@_command("send")
def send(
    *,
    file: str | None = None,
    pipeline: str | None = None,
    input: str | None = None,  # noqa: A002
    key: str | None = None,
    deadline_ms: int | None = None,
    stream: bool = False,
    once: bool = False,
    url: str | None = None,
    json: bool = False,  # noqa: A002
) -> int:
    """Send a request and print its whole answer, checked.

    Args:
        file: a JSON file with pipeline, idempotency_key and request (the
            body); "-" is stdin. Flags go before it.
        pipeline: the pipeline.
        input: the input, as JSON.
        key: the idempotency key.
        deadline_ms: the whole time that the request is given.
        stream: print the tokens as they come.
        once: mark it as non-idempotent: it runs at most once. Needs a key.
        url: the callers' port.
        json: print the answer as JSON.
    """
    body: dict[str, Any] = {}
    if input is not None:
        body["input"] = _parse_json("--input", input)
    if deadline_ms is not None:
        body["deadline_ms"] = deadline_ms
    if stream:
        body["stream"] = True
    if once:
        body["idempotent"] = False
    request = _build_request(file, pipeline, key, body)
    emit = output.ignore_tokens if json else output.print_tokens
    address = _find_url(url, "--url", "SAMPHIREVALE_URL")
    token = _find_token("SAMPHIREVALE_TOKEN")
    reply = curio.run(client.send_request, address, token, request, emit)
    return output.print_answer(reply, request.body.get("stream", False), json)


@_command("outcome")
def show_outcome(
    key: str,
    *,
    url: str | None = None,
    json: bool = False,  # noqa: A002
) -> int:
    """Tell what has become of a request that had an idempotency key.

    Prints the kept answer if it is done, else "running" or "unknown".

    Args:
        key: the request's idempotency key.
        url: the callers' port.
        json: print the answer as JSON.
    """
    address = _find_url(url, "--url", "SAMPHIREVALE_URL")
    token = _find_token("SAMPHIREVALE_TOKEN")
    reply = curio.run(client.get_outcome, address, token, key)
    if reply.status != 200:
        return output.print_answer(reply, False, json)
    if reply.value["state"] != "done":
        print(reply.value["state"])
        return output.EXIT_UNKNOWN
    kept = client.Reply(200, reply.value["outcome"])
    return output.print_answer(kept, False, json)


@_command("query")
def query(
    text: str,
    *,
    admin_url: str | None = None,
    json: bool = False,  # noqa: A002
) -> int:
    """Ask what runs where and how requests fare.

    Args:
        text: one or several `show` statements, separated by `;`.
        admin_url: an entry's admin port.
        json: print the tables as JSON.
    """
    for statement in language.parse(text):
        if statement.is_order():
            _fail("text", "only `show`; use `order`", statement.text)
    reply = _call_admin(client.run_query, admin_url, text)
    return output.print_statements(reply, json)


@_command("order")
def order(
    text: str,
    *,
    order_id: str | None = None,
    admin_url: str | None = None,
    json: bool = False,  # noqa: A002
) -> int:
    """Roll out, recall, drain, resume, stop or start.

    An order whose answer is lost is read back by its id.

    Args:
        text: one order.
        order_id: the id of an order that is sent again; else a new one.
        admin_url: an entry's admin port.
        json: print the result as JSON.
    """
    statements = language.parse(text)
    if len(statements) != 1 or not statements[0].is_order():
        _fail("text", "exactly one order", text)
    order_id = order_id or client.create_order_id()
    reply = _call_admin(client.run_order, admin_url, text, order_id)
    return output.print_statements(reply, json)


@_command("dump")
def dump(*, admin_url: str | None = None) -> int:
    """Print the state dump of a process as JSON.

    Args:
        admin_url: the admin port of an entry or a sidecar.
    """
    reply = _call_admin(client.get_dump, admin_url)
    output.print_json(reply.value)
    return output.EXIT_DONE if reply.status == 200 else output.EXIT_FAILED


@_command("explain")
def explain(request: str, *files: str) -> int:
    """Tell the story of one proxied request from the logs of all entries.

    Args:
        request: the request's attempt id.
        files: log files of the entries.
    """
    rows = stories.tell_request(_read_logs(files), request)
    return _print_rows(rows, f"no line names {request}")


@_command("causes")
def causes(*files: str) -> int:
    """Sum up refusals and broken streams by cause, with a request of each.

    Args:
        files: log files of the entries.
    """
    return _print_rows(stories.count_causes(_read_logs(files)), "no failures")


def _read_logs(files: Sequence[str]) -> list[dict[str, Any]]:
    lines: list[str] = []
    for name in files:
        try:
            with open(name, encoding="utf-8", errors="replace") as file:
                lines += file
        except OSError as error:
            _fail(name, "a log file", str(error))
    return stories.parse_lines(lines)


def _print_rows(rows: list[dict[str, Any]], nothing: str) -> int:
    if not rows:
        print(nothing)
        return output.EXIT_FAILED
    cells = [list(row.values()) for row in rows]
    print(tables.format_table(list(rows[0]), cells))
    return output.EXIT_DONE


def check_settings(role: daemon.Role, flags: dict[str, str | None]) -> int:
    """Loads a role's settings and prints them without the secrets."""
    try:
        loaded = role.load(flags, os.environ)
    except errors.InvalidInputError as error:
        return output.report_error(error)
    rows = [
        (name, daemon.format_default(value))
        for name, value in settings.redact(loaded).items()
    ]
    print(tables.format_table(("setting", "value"), rows))
    return output.EXIT_DONE


@_command("check-configuration")
def check_configuration(file: str) -> int:
    """Check a configuration and print every finding.

    Args:
        file: a JSON file; "-" is stdin.
    """
    value = _read_configuration(file)
    for name in ("pipelines", "accounts", "batches"):
        print(f"{name}: {len(value[name])}")
    return output.EXIT_DONE


def _read_configuration(file: str) -> configuration.ConfigurationValue:
    value = loading.complete(_read_object(file))
    findings = configuration.check_configuration(value)
    if findings:
        raise errors.InvalidInputError(findings)
    return value


@_command("load-configuration")
def load_configuration(
    file: str,
    *,
    order_id: str | None = None,
    store_url: str | None = None,
) -> int:
    """Check a configuration and load it into the platform's store.

    It replaces the one that is there, unless another order comes between;
    then the tool tells which. Recalled batches stay recalled.

    Args:
        file: a JSON file; "-" is stdin.
        order_id: the id of a load that is done again; else a new one.
        store_url: the platform's object API.
    """
    value = _read_configuration(file)
    url = _find_url(store_url, "--store-url", "SAMPHIREVALE_STORE_URL")
    store = objects.HttpObjectStore(url)
    order_id = order_id or client.create_order_id()
    result = curio.run(_load, store, order_id, value)
    return output.print_submission(order_id, result)


async def _load(
    store: objects.HttpObjectStore,
    order_id: str,
    value: configuration.ConfigurationValue,
) -> orders.Submission:
    now = clock.MonotonicClock()
    held = await store.get(configuration.OBJECT_KIND, configuration.OBJECT_NAME)
    base = held.value["revision"] if held else 0
    load = loading.build_order(order_id, value, base)
    try:
        return await orders.submit_order(
            store, load, now.now() + LOAD_SECONDS, now
        )
    finally:
        await store.close()


def _fail(place: str, expected: str, got: str = "") -> None:
    raise errors.InvalidInputError([errors.Finding(place, expected, got)])


def _read_object(file: str) -> dict[str, Any]:
    """Returns the JSON object of a file."""
    try:
        if file == "-":
            text = sys.stdin.read()
        else:
            with open(file, encoding="utf-8") as stream:
                text = stream.read()
    except (OSError, UnicodeDecodeError) as error:
        _fail(file, "a readable file", str(error))
    value = _parse_json(file, text)
    if not isinstance(value, dict):
        _fail(file, "a JSON object", type(value).__name__)
    return value


def _parse_json(place: str, text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError as error:
        _fail(place, "JSON", str(error))


def _build_request(
    file: str | None,
    pipeline: str | None,
    key: str | None,
    body: dict[str, Any],
) -> client.Request:
    """Returns the file's request with the flags' values over its own."""
    fields = _read_object(file) if file else {}
    findings = [
        errors.Finding(f"{file}: {name}", "one of " + ", ".join(FILE_FIELDS))
        for name in fields
        if name not in FILE_FIELDS
    ]
    own_body = fields.get("request", {})
    if not isinstance(own_body, dict):
        findings.append(errors.Finding(f"{file}: request", "a JSON object"))
        own_body = {}
    whole = own_body | body
    pipeline = pipeline or fields.get("pipeline")
    if not isinstance(pipeline, str):
        findings.append(errors.Finding("--pipeline", "a name, or in the file"))
    if "input" not in whole:
        findings.append(errors.Finding("--input", "JSON, or in the file"))
    if findings:
        raise errors.InvalidInputError(findings)
    key = key or fields.get("idempotency_key", "")
    return client.Request(pipeline, str(key), whole)


def _find_url(given: str | None, flag: str, variable: str) -> str:
    place = variable if given is None else flag
    url = os.environ.get(variable, "") if given is None else given
    if not rules.is_url(url):
        _fail(place, f"http://IP:PORT by {flag} or {variable}", url)
    return url


def _find_token(variable: str) -> str:
    token = os.environ.get(variable, "")
    if not token:
        _fail(variable, "a token")
    return token


def _call_admin(
    call: Callable[..., Any], admin_url: str | None, *args: str
) -> client.Reply:
    url = _find_url(admin_url, "--admin-url", "SAMPHIREVALE_ADMIN_URL")
    token = _find_token("SAMPHIREVALE_OPERATOR_TOKEN")
    return curio.run(call, url, token, *args)


if __name__ == "__main__":
    main()
