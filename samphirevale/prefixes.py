"""Delta encoding of the cached prefixes in heartbeats.

A connection delivers all messages in order, so sender and receiver track the
same set, and each heartbeat carries only the changes. The first heartbeat of
a connection carries the whole set.
"""

from samphirevale import messages


class PrefixEncoder:
    """The sidecar's side of a connection: encodes the changes."""

    def __init__(self):
        self._sent: frozenset[str] = frozenset()

    def encode(self, beat: messages.Heartbeat) -> messages.Heartbeat:
        """Returns the heartbeat with only the changes since the last one."""
        held = frozenset(beat.prefixes)
        reduced = beat._replace(
            prefixes=sorted(held - self._sent),
            prefixes_gone=sorted(self._sent - held),
        )
        self._sent = held
        return reduced


class PrefixDecoder:
    """The entry's side of a connection: decodes the changes."""

    def __init__(self):
        self._known: frozenset[str] = frozenset()

    def decode(self, beat: messages.Heartbeat) -> messages.Heartbeat:
        """Returns the heartbeat with all cached prefixes."""
        self._known = (self._known - set(beat.prefixes_gone)).union(
            beat.prefixes
        )
        return beat._replace(prefixes=list(self._known), prefixes_gone=[])
