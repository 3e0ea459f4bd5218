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

    def encode(self, heartbeat: messages.Heartbeat) -> messages.Heartbeat:
        """Returns the heartbeat with only the changes since the last one."""
        cached = frozenset(heartbeat.prefixes)
        encoded = heartbeat._replace(
            prefixes=sorted(cached - self._sent),
            prefixes_gone=sorted(self._sent - cached),
        )
        self._sent = cached
        return encoded


class PrefixDecoder:
    """The entry's side of a connection: decodes the changes."""

    def __init__(self):
        self._prefixes: frozenset[str] = frozenset()

    def decode(self, heartbeat: messages.Heartbeat) -> messages.Heartbeat:
        """Returns the heartbeat with all cached prefixes."""
        self._prefixes = (self._prefixes - set(heartbeat.prefixes_gone)).union(
            heartbeat.prefixes
        )
        return heartbeat._replace(
            prefixes=list(self._prefixes), prefixes_gone=[]
        )
