"""Typed settings of the two roles, loaded from flags and the environment.

Each field has a flag (`--caller-port` for `caller_port`) and an environment
variable (`SAMPHIREVALE_CALLER_PORT`); the flag takes precedence. A secret has
no flag. It is read from its variable or from the file named by the variable
with the suffix `_FILE`. Lists are separated by commas.
"""

import inspect
import re
import typing
from collections.abc import Mapping
from typing import Any, NamedTuple

from samphirevale import errors, settings_rules

# Prefix of every field's environment variable; the field's name in upper case
# follows.
ENVIRONMENT_PREFIX = "SAMPHIREVALE_"

# Text that replaces secrets in dumps.
REDACTED = "[redacted]"

# Fields that have no flag and are never printed.
SECRET_FIELDS = frozenset({"peer_secret", "operator_token"})

# Maximum number of characters of an invalid value quoted in a finding.
SHOWN_CHARACTERS = 60


class CommonSettings(NamedTuple):
    """The settings that both roles share.

    Attributes:
        instance: this process's instance name, unique in the deployment.
        data_centre: the data centre that the process runs in.
        host: the address to listen on.
        admin_port: port for metrics, health checks and the state dump.
        store_url: URL of the platform's object API, `http://host:port`.
        peer_secret: secret shared by entries and sidecars.
        heartbeat_seconds: interval between heartbeats.
        suspect_seconds: time without a message after which a peer is
            suspected to have failed.
        drain_seconds: longest time that a graceful stop waits for requests
            in flight.
        fatal_invariants: end the process when an invariant is violated.
        log_level: `debug`, `info`, `warning` or `error`.
    """

    instance: str
    data_centre: str
    host: str
    admin_port: int
    store_url: str
    peer_secret: str
    heartbeat_seconds: float = 0.5
    suspect_seconds: float = 1.5
    drain_seconds: float = 30.0
    fatal_invariants: bool = False
    log_level: str = "info"


class EntrySettings(NamedTuple):
    """The settings of an entry.

    Attributes:
        common: the settings that both roles share.
        caller_port: port for callers.
        operator_token: bearer token of operators on the admin port.
        peers: `host:port` of the sidecars to connect to while the platform's
            list of sidecars is unavailable.
        list_seconds: interval between reads of the platform's list.
        body_bytes_limit: maximum size of a caller's request body.
        connections_limit: maximum number of concurrent caller connections.
        idle_seconds: longest time that a caller's connection may be idle.
        claim_window_seconds: how long a claim and its outcome are kept.
        routing_policy: name of a registered routing policy.
        admission_policy: name of a registered admission policy.
    """

    common: CommonSettings
    caller_port: int
    operator_token: str
    peers: tuple[str, ...] = ()
    list_seconds: float = 1.0
    body_bytes_limit: int = 1024 * 1024
    connections_limit: int = 1000
    idle_seconds: float = 30.0
    claim_window_seconds: float = 86400.0
    routing_policy: str = "expected_completion"
    admission_policy: str = "deadline"


class SidecarSettings(NamedTuple):
    """The settings of a sidecar.

    Attributes:
        common: the settings that both roles share.
        peer_port: port that entries connect to.
        endpoint: the endpoint's name.
        endpoint_url: the endpoint's URL, `http://host:port`.
        endpoint_kind: `engine`, `stage` or `service`.
        pool: the pool that the endpoint belongs to.
        checks_fencing: the endpoint refuses orders with an outdated fencing
            token.
        limit_policy: name of a registered concurrency limiter.
        concurrency_limit: maximum number of attempts that the endpoint runs
            at once.
        queue_limit: maximum number of attempts waiting in the sidecar.
        lease_seconds: duration of the endpoint's lease.
        order_seconds: timeout of one order to the endpoint.
        load_seconds: interval between reads of the endpoint's load.
    """

    common: CommonSettings
    peer_port: int
    endpoint: str
    endpoint_url: str
    endpoint_kind: str
    pool: str
    checks_fencing: bool = True
    limit_policy: str = "fixed"
    concurrency_limit: int = 8
    queue_limit: int = 32
    lease_seconds: float = 5.0
    order_seconds: float = 2.0
    load_seconds: float = 0.2


Settings = EntrySettings | SidecarSettings


class Field(NamedTuple):
    """Metadata of one setting, for the command line and the documentation.

    Attributes:
        name: the field's name.
        type: the field's type.
        default: the default; inspect.Parameter.empty if the setting is
            required.
        doc: the field's description in the docstring of its class.
    """

    name: str
    type: Any
    default: Any
    doc: str

    @property
    def is_secret(self) -> bool:
        """Whether the setting has no flag and is never printed."""
        return self.name in SECRET_FIELDS

    @property
    def variable(self) -> str:
        """The name of the setting's environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    @property
    def flag(self) -> str:
        """The setting's flag."""
        return "--" + self.name.replace("_", "-")


def list_fields(settings_type: type) -> list[Field]:
    """Returns the fields of a role's settings, the shared ones first."""
    fields = []
    docs = _read_docs(settings_type)
    for name, field_type in typing.get_type_hints(settings_type).items():
        if field_type is CommonSettings:
            fields.extend(list_fields(CommonSettings))
            continue
        default = settings_type._field_defaults.get(
            name, inspect.Parameter.empty
        )
        fields.append(Field(name, field_type, default, docs[name]))
    return fields


def _read_docs(settings_type: type) -> dict[str, str]:
    text = inspect.getdoc(settings_type).partition("Attributes:")[2]
    items = re.findall(r"^    (\w+): (.*(?:\n {8}.*)*)", text, re.MULTILINE)
    return {name: " ".join(doc.split()) for name, doc in items}


def load_entry_settings(
    flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> EntrySettings:
    """Returns the settings of an entry.

    Args:
        flags: the flags' values as text by field name; None for a flag that
            is not given.
        environment: the environment variables.

    Raises:
        errors.InvalidInputError: a setting is invalid; carries all findings.
    """
    return _load(EntrySettings, flags, environment)


def load_sidecar_settings(
    flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> SidecarSettings:
    """Returns the settings of a sidecar; see load_entry_settings."""
    return _load(SidecarSettings, flags, environment)


def redact(settings: Settings) -> dict[str, Any]:
    """Returns all settings as one flat map with the secrets replaced."""
    flat = settings.common._asdict() | settings._asdict()
    del flat["common"]
    for name in SECRET_FIELDS & flat.keys():
        flat[name] = REDACTED
    return flat


def list_secrets(settings: Settings) -> list[str]:
    """Returns the values that must never be printed."""
    flat = settings.common._asdict() | settings._asdict()
    return [flat[name] for name in SECRET_FIELDS if flat.get(name)]


def _load(
    settings_type: type,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> Any:
    values: dict[str, Any] = {}
    findings: list[errors.Finding] = []
    for field in list_fields(settings_type):
        try:
            value = _load_field(field, flags, environment)
        except errors.InvalidInputError as error:
            findings.extend(error.findings)
        else:
            values[field.name] = value
    for check in settings_rules.RELATION_CHECKS:
        findings.extend(check(values))
    if findings:
        raise errors.InvalidInputError(findings)
    common = CommonSettings(
        **{name: values.pop(name) for name in CommonSettings._fields}
    )
    return settings_type(common=common, **values)


class _SourcedText(NamedTuple):
    """A setting's text and the flag or variable that it was read from."""

    place: str
    text: str


def _load_field(
    field: Field,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> Any:
    rule = settings_rules.VALUE_RULES[field.name]
    found = _find_text(field, flags, environment)
    if found is None:
        if field.default is inspect.Parameter.empty:
            _fail(
                _describe_sources(field), f"{rule.expected}; it must be given"
            )
        return field.default
    try:
        value = settings_rules.convert(field.type, found.text)
        accepted = rule.accepts(value)
    except ValueError:
        accepted = False
    if not accepted:
        got = "" if field.is_secret else _shorten(found.text)
        _fail(found.place, rule.expected, got)
    return value


def _find_text(
    field: Field,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> _SourcedText | None:
    if field.is_secret:
        return _find_secret(field, environment)
    text = flags.get(field.name)
    if text is not None:
        return _SourcedText(field.flag, text)
    text = environment.get(field.variable)
    if text is not None:
        return _SourcedText(field.variable, text)
    return None


def _find_secret(
    field: Field, environment: Mapping[str, str]
) -> _SourcedText | None:
    text = environment.get(field.variable)
    file_variable = field.variable + "_FILE"
    path = environment.get(file_variable)
    if path is None:
        return None if text is None else _SourcedText(field.variable, text)
    if text is not None:
        _fail(file_variable, f"not to be given with {field.variable}")
    try:
        with open(path, encoding="utf-8") as file:
            return _SourcedText(file_variable, file.read().strip())
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8 text"
        _fail(file_variable, "a readable file", f"{path} ({reason})")


def _fail(place: str, expected: str, got: str = "") -> typing.NoReturn:
    raise errors.InvalidInputError([errors.Finding(place, expected, got)])


def _describe_sources(field: Field) -> str:
    if field.is_secret:
        return f"{field.variable} or {field.variable}_FILE"
    return f"{field.flag} or {field.variable}"


def _shorten(text: str) -> str:
    if len(text) <= SHOWN_CHARACTERS:
        return repr(text)
    return repr(text[:SHOWN_CHARACTERS]) + "..."
