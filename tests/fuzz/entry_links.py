"""Strategies for what another entry sends, and a link that brings it.

Messages are built from sound ones in which values, fields, rows or their number
are odd, so that most can be decoded, and rows of sound names lie beside them.
"""

import copy

import cbor2
import curio
from hypothesis import strategies

from samphirevale import entry_messages, errors, messages
from tests import odd_values


def _is_encodable(value):
    try:
        cbor2.dumps(value)
    except (UnicodeEncodeError, cbor2.CBOREncodeError):
        return False
    return True


# What CBOR can express; texts with lone surrogates it cannot.
VALUES = odd_values.VALUES.filter(_is_encodable)
TEXTS = odd_values.TEXTS.filter(_is_encodable)

INTEGERS = strategies.one_of(
    strategies.integers(),
    strategies.integers(-(2**70), 2**70),
    strategies.sampled_from([-1, -2, 2**31, 2**63, 2**64, 10**18, -(10**18)]),
    strategies.integers(-(10**400), 10**400),
)
FLOATS = strategies.one_of(strategies.floats(), INTEGERS)

# Texts far longer than a name.
LONG_TEXTS = strategies.integers(1, 200_000).map(lambda count: "x" * count)

SCALARS = {
    bool: strategies.booleans(),
    int: INTEGERS,
    float: FLOATS,
    str: strategies.one_of(TEXTS, LONG_TEXTS),
}

# The number of copies of a row or of a value.
COPIES = strategies.sampled_from([2, 100, 20_000])

# Sound messages; the endpoints are those of tests.fuzz.test_entries.
QUEUE = [3, 300, 0, 0, 900_000, 0.25, 0.5, 1.0]
SOUND = [
    entry_messages.EntryReport(
        queues=[["first1", *QUEUE], ["first2", *QUEUE]],
        loads=[["plain1", 2, 500], ["model1", 1, 70]],
        crashed=[["f1", "a1"], ["f2", "a2", "a3"]],
        pauses=[["plain2", 1, 700]],
        limits=[["model2", 1, 1.5, 20]],
        demands=[["plain", "acme", 250], ["plain", "", 20]],
    ),
    entry_messages.EndpointsLeaving(["plain2", "model2"], [1, 1]),
    entry_messages.CrashEvidence(
        [["model2", 1, 20, ["p", "q"], [40, 50]]],
        [["r", 10]],
        [["plain2", 1, 5]],
    ),
    entry_messages.ItemsRequest(
        3, "first1", "a9", 0, [0, 1], "ck", [], 1000, 900, 2000, 0, [["a", 100]]
    ),
    entry_messages.ItemsRequest(
        4, "first2", "a8", 1, [0], "", ["h1"], 1000, 900, 2000, 0, []
    ),
    entry_messages.ItemsResult(1, "first1", ["h1", ""], ["", "room"], QUEUE),
    entry_messages.RoutesAgeRequest(2),
    entry_messages.RoutesAge(3, 1, 0.25, 4),
    entry_messages.StreamOriginNotice("a7", "model", "v1", 5000),
    entry_messages.StreamOriginRequest(4, "a7"),
    entry_messages.StreamOriginAnswer(5, True, "model", "v1"),
    entry_messages.ItemsCancelled(3),
    entry_messages.ResultsReleased("first1", ["h5"]),
    messages.Hello("o", "t", "entry", "a", "", ""),
    messages.Heartbeat(1, False),
    messages.SnapshotRequest(3),
]


def _change_value(draw, value):
    """Returns an odd value in place of a value inside of a row."""
    if draw(strategies.booleans()) and type(value) in SCALARS:
        return draw(SCALARS[type(value)])
    return draw(VALUES)


def _change_list(draw, items):
    """Changes one thing in a list, or appends something odd to it."""
    kinds = ["append", "copies"]
    if items:
        kinds += ["change", "change", "change", "drop"]
    kind = draw(strategies.sampled_from(kinds))
    position = draw(strategies.integers(0, len(items) - 1)) if items else 0
    if kind == "append":
        items.insert(position, draw(VALUES))
    elif kind == "copies":
        item = items[position] if items else draw(VALUES)
        items.extend([copy.deepcopy(item)] * draw(COPIES))
    elif kind == "drop":
        del items[position]
    elif isinstance(items[position], list) and draw(strategies.booleans()):
        _change_list(draw, items[position])
    else:
        items[position] = _change_value(draw, items[position])


def _change_rows(draw, rows):
    """Adds rows that are odd beside those that stay as they are."""
    lists = [row for row in rows if isinstance(row, list)]
    if lists:
        odd = copy.deepcopy(draw(strategies.sampled_from(lists)))
        _change_list(draw, odd)
    else:
        like = rows[0] if rows else ""
        odd = draw(SCALARS.get(type(like), VALUES))
    rows.insert(draw(strategies.integers(0, len(rows))), odd)


def change(draw, message):
    """Returns a message with some odd values, which may still be decoded.

    Lists keep their sound rows if `draw` chooses so.
    """
    fields = list(map(copy.deepcopy, message))
    for _ in range(draw(strategies.integers(1, 3))):
        index = draw(strategies.integers(0, len(fields) - 1))
        if not isinstance(fields[index], list):
            scalars = SCALARS.get(type(message[index]), VALUES)
            fields[index] = draw(scalars)
        elif draw(strategies.booleans()):
            _change_rows(draw, fields[index])
        else:
            _change_list(draw, fields[index])
    return type(message)(*fields)


@strategies.composite
def build_odd(draw, sound=None):
    """Draws a sound message with odd values, or now and then a sound one."""
    message = draw(strategies.sampled_from(sound or SOUND))
    if draw(strategies.integers(0, 9)) == 0:
        return message
    return change(draw, message)


class ScriptedLink:
    """A link of which the other side sends what a test has scripted.

    What is sent is kept as the other side would decode it.
    """

    def __init__(self, script=()):
        self.script = list(script)
        self.sent = []
        self.frames = []
        self.ended = curio.Event()
        self._queue = curio.Queue()

    async def put(self, message):
        """Brings one more message, once the script has been read."""
        await self._queue.put(message)

    async def send(self, message, revision):
        data = messages.encode_frame(message, revision)
        self.frames.append(data)
        self.sent.append(messages.decode_frame(data).message)

    async def receive(self):
        if self.script:
            message = self.script.pop(0)
        else:
            message = await self._queue.get()
        if message is None:
            await self.ended.set()
            raise errors.PeerClosedError("the other side closed")
        return messages.decode_frame(messages.encode_frame(message, 0))

    async def close(self, code=0, reason=""):
        await self.ended.set()
