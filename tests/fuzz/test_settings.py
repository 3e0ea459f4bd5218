"""Fuzzes the platform's settings file of a process.

A file is read, or refused with what is wrong; nothing else comes out, as a
process that reads an odd file again while it runs would end.
"""

import math

import hypothesis
from hypothesis import strategies

from samphirevale import errors
from samphirevale.platform import node_file
from tests import base
from tests.fuzz import inputs
from tests.platform import test_decoding

LITERALS = strategies.one_of(
    strategies.sampled_from(
        [
            "true",
            "inf",
            "-inf",
            "nan",
            "1e999",
            "[]",
            "[[]]",
            "{}",
            "1979-05-27",
        ]
    ),
    strategies.integers().map(str),
    strategies.integers(1, 6000).map(lambda digits: "9" * digits),
    strategies.integers(1, 2000).map(lambda depth: "[" * depth + "]" * depth),
    strategies.floats(allow_nan=False, allow_infinity=False).map(repr),
    strategies.text(
        strategies.characters(categories=("L", "N", "P", "Zs")), max_size=8
    ).map(lambda text: "'''" + text.replace("'", "") + "'''"),
    strategies.text(
        strategies.characters(categories=("Nd", "No")), max_size=6
    ).map(lambda digits: f'"10.0.0.1:{digits}"'),
)

LINES = [
    line.partition(" = ")[0]
    for line in test_decoding.SETTINGS.splitlines()
    if " = " in line
]
SECTIONS = ["limits", "listen", "bounds", "platform", "zones"]


def replace_values(values):
    """Returns the text of a file in which some fields have other values."""
    lines = []
    for line in test_decoding.SETTINGS.splitlines():
        name = line.partition(" = ")[0]
        lines.append(f"{name} = {values[name]}" if name in values else line)
    return "\n".join(lines)


class SettingsTest(base.TestCase):
    """Tests files with odd values, sections and texts."""

    def check(self, text):
        try:
            found = node_file.read_node_file(text)
        except errors.InvalidInputError as error:
            self.assertTrue(error.findings)
            return
        gateway = found.gateway
        for number in (
            gateway.keys_seconds,
            gateway.contact_seconds,
            gateway.drain_seconds,
            gateway.grace_seconds,
            gateway.processor,
        ):
            self.assertTrue(math.isfinite(number) and number >= 0)
        for port in (gateway.caller_port, gateway.ready_port):
            self.assertIn(port, range(1, 65536))

    @inputs.limit_inputs
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(LINES), LITERALS, min_size=1, max_size=3
        )
    )
    def test_values(self, values):
        self.check(replace_values(values))

    @inputs.limit_inputs
    @hypothesis.given(strategies.sampled_from(SECTIONS), LITERALS)
    def test_sections(self, section, literal):
        text = test_decoding.SETTINGS
        if f"[{section}]" in text:
            before, _, rest = text.partition(f"[{section}]")
            _, bracket, after = rest.partition("\n[")
            text = before + (f"[{after}" if bracket else "")
        self.check(f"{section} = {literal}\n{text}")

    @inputs.limit_inputs
    @hypothesis.given(strategies.text(max_size=40))
    def test_texts(self, text):
        self.check(text)
