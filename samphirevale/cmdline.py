"""The command-line tool `samphirevale` for callers and operators.

URLs are given by flags or environment variables, tokens only by environment
variables: SAMPHIREVALE_URL (the callers' port), SAMPHIREVALE_ADMIN_URL (the
admin port), SAMPHIREVALE_STORE_URL (the platform's object API),
SAMPHIREVALE_TOKEN (an account's token), SAMPHIREVALE_OPERATOR_TOKEN (the
operators' token, or the peer secret for a sidecar's admin port).

Exit codes: 0 success; 1 failure; 2 invalid input, with all findings printed;
3 refused, safe to retry; 4 unknown whether it ran; 5 incomplete answer.
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
    configuration_loader,
    daemon,
    errors,
    language,
    log_analysis,
    orders,
    output,
    settings,
    settings_rules,
    tables,
)
from samphirevale.adapters import clock, objects

# The timeout of a configuration load while the store fails, in seconds.
LOAD_TIMEOUT_SECONDS = 30.0

# The fields allowed in a request file. `account` is only informative, because
# the token identifies the account.
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
    """Registers a subcommand, which prints errors and returns exit codes."""

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
    """Send a request, verify its answer and print it.

    Args:
        file: a JSON file with the fields pipeline, idempotency_key and
            request (the body); "-" is stdin. Flags override its values.
        pipeline: the name of the pipeline.
        input: the input, as JSON.
        key: the idempotency key.
        deadline_ms: the deadline, in milliseconds from arrival.
        stream: print the tokens as they arrive.
        once: mark the request as non-idempotent, so it runs at most once.
            Needs a key.
        url: the URL of the callers' port.
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
    """Show the state of a request that has an idempotency key.

    Prints the stored answer if the request is done, else "running" or
    "unknown".

    Args:
        key: the request's idempotency key.
        url: the URL of the callers' port.
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
    stored = client.Reply(200, reply.value["outcome"])
    return output.print_answer(stored, False, json)


@_command("query")
def query(
    text: str,
    *,
    admin_url: str | None = None,
    json: bool = False,  # noqa: A002
) -> int:
    """Show instances, batches, request statistics and other state.

    Args:
        text: one or several `show` statements, separated by `;`.
        admin_url: the URL of an entry's admin port.
        json: print the tables as JSON.
    """
    for statement in language.parse(text):
        if statement.is_order():
            _raise_finding("text", "only `show`; use `order`", statement.text)
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
    """Run an order: roll out, recall, drain, resume, stop or start.

    If the answer is lost, the result is looked up by the order's id.

    Args:
        text: one order.
        order_id: the id of an order to retry; by default a new id.
        admin_url: the URL of an entry's admin port.
        json: print the result as JSON.
    """
    statements = language.parse(text)
    if len(statements) != 1 or not statements[0].is_order():
        _raise_finding("text", "exactly one order", text)
    order_id = order_id or client.create_order_id()
    reply = _call_admin(client.run_order, admin_url, text, order_id)
    return output.print_statements(reply, json)


@_command("dump")
def dump(*, admin_url: str | None = None) -> int:
    """Print the state dump of a process as JSON.

    Args:
        admin_url: the URL of the admin port of an entry or a sidecar.
    """
    reply = _call_admin(client.get_dump, admin_url)
    output.print_json(reply.value)
    return output.EXIT_DONE if reply.status == 200 else output.EXIT_FAILED


@_command("explain")
def explain(request: str, *files: str) -> int:
    """Show the events of one proxied request from the logs of all entries.

    Args:
        request: the request's attempt id.
        files: log files of the entries.
    """
    rows = log_analysis.list_request_events(_read_logs(files), request)
    return _print_rows(rows, f"no log line mentions {request}")


@_command("causes")
def causes(*files: str) -> int:
    """Count refusals and broken streams by cause, with an example of each.

    Args:
        files: log files of the entries.
    """
    return _print_rows(
        log_analysis.count_causes(_read_logs(files)), "no failures"
    )


def _read_logs(files: Sequence[str]) -> list[dict[str, Any]]:
    lines: list[str] = []
    for name in files:
        try:
            with open(name, encoding="utf-8", errors="replace") as file:
                lines += file
        except OSError as error:
            _raise_finding(name, "a log file", str(error))
    return log_analysis.parse_lines(lines)


def _print_rows(rows: list[dict[str, Any]], empty_message: str) -> int:
    if not rows:
        print(empty_message)
        return output.EXIT_FAILED
    cells = [list(row.values()) for row in rows]
    print(tables.format_table(list(rows[0]), cells))
    return output.EXIT_DONE


def check_settings(role: daemon.Role, flags: dict[str, str | None]) -> int:
    """Loads a role's settings and prints them with secrets redacted."""
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
    value = configuration_loader.add_defaults(_read_object(file))
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

    It replaces the present configuration. If another order takes effect at the
    same time, the load is refused and the other order is shown. Recalled
    batches stay recalled.

    Args:
        file: a JSON file; "-" is stdin.
        order_id: the id of a load to retry; by default a new id.
        store_url: the URL of the platform's object API.
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
    monotonic = clock.MonotonicClock()
    stored = await store.get(
        configuration.OBJECT_KIND, configuration.OBJECT_NAME
    )
    base = stored.value["revision"] if stored else 0
    load = configuration_loader.build_order(order_id, value, base)
    return await orders.submit_order(
        store, load, monotonic.now() + LOAD_TIMEOUT_SECONDS, monotonic
    )


def _raise_finding(place: str, expected: str, got: str = "") -> None:
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
        _raise_finding(file, "a readable file", str(error))
    value = _parse_json(file, text)
    if not isinstance(value, dict):
        _raise_finding(file, "a JSON object", type(value).__name__)
    return value


def _parse_json(place: str, text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError as error:
        _raise_finding(place, "JSON", str(error))


def _build_request(
    file: str | None,
    pipeline: str | None,
    key: str | None,
    body: dict[str, Any],
) -> client.Request:
    """Builds a request from a file and flags; flags override the file."""
    fields = _read_object(file) if file else {}
    findings = [
        errors.Finding(f"{file}: {name}", "one of " + ", ".join(FILE_FIELDS))
        for name in fields
        if name not in FILE_FIELDS
    ]
    file_body = fields.get("request", {})
    if not isinstance(file_body, dict):
        findings.append(errors.Finding(f"{file}: request", "a JSON object"))
        file_body = {}
    merged_body = file_body | body
    pipeline = pipeline or fields.get("pipeline")
    if not isinstance(pipeline, str):
        findings.append(errors.Finding("--pipeline", "a name, or in the file"))
    if "input" not in merged_body:
        findings.append(errors.Finding("--input", "JSON, or in the file"))
    if findings:
        raise errors.InvalidInputError(findings)
    key = key or fields.get("idempotency_key", "")
    return client.Request(pipeline, str(key), merged_body)


def _find_url(flag_value: str | None, flag: str, variable: str) -> str:
    place = variable if flag_value is None else flag
    url = os.environ.get(variable, "") if flag_value is None else flag_value
    if not settings_rules.is_url(url):
        _raise_finding(place, f"http://IP:PORT by {flag} or {variable}", url)
    return url


def _find_token(variable: str) -> str:
    token = os.environ.get(variable, "")
    if not token:
        _raise_finding(variable, "a token")
    return token


def _call_admin(
    call: Callable[..., Any], admin_url: str | None, *args: str
) -> client.Reply:
    url = _find_url(admin_url, "--admin-url", "SAMPHIREVALE_ADMIN_URL")
    token = _find_token("SAMPHIREVALE_OPERATOR_TOKEN")
    return curio.run(call, url, token, *args)


if __name__ == "__main__":
    main()
