"""Fuzzes the frames between processes.

A frame is decoded, to a message that can be encoded again, or it is an error of
the protocol, upon which the link is closed.
"""

import cbor2
import hypothesis
from hypothesis import strategies

from samphirevale import entry_messages, errors, messages
from tests import base, odd_values
from tests.fuzz import inputs

TAGS = strategies.sampled_from(
    [
        entry_messages.EntryReport.tag,
        entry_messages.EndpointsLeaving.tag,
        entry_messages.StreamOriginNotice.tag,
        messages.Hello.tag,
        "odd",
    ]
)

# Values that CBOR can express; texts with lone surrogates cannot be.
VALUES = odd_values.VALUES.filter(lambda value: _is_encodable(value))

FRAMES = strategies.one_of(
    strategies.binary(max_size=60),
    strategies.builds(
        lambda tag, fields, version: cbor2.dumps([version, tag, 1, *fields]),
        TAGS,
        strategies.lists(VALUES, max_size=12),
        strategies.sampled_from([messages.PROTOCOL_VERSION, 0, "x"]),
    ),
    strategies.integers(1, 3000).map(lambda depth: b"\x81" * depth + b"\x01"),
)


def _is_encodable(value):
    try:
        cbor2.dumps(value)
    except (UnicodeEncodeError, cbor2.CBOREncodeError):
        return False
    return True


class MessagesTest(base.TestCase):
    """Tests the decoder of frames."""

    @inputs.limit_inputs
    @hypothesis.given(FRAMES)
    def test_frames(self, data):
        try:
            frame = messages.decode_frame(data)
        except errors.ProtocolError:
            return
        messages.encode_frame(frame.message, frame.revision)
