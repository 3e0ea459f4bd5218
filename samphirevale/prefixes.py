"""Cached prefixes in heartbeats: only what has changed goes over the wire.

A connection keeps order and loses nothing, so that both sides know the same
set. Its first heartbeat names all.
"""

from samphirevale import messages


class Sender:
    """What one connection has been told, on the sidecar's side."""

    def __init__(self):
        self._told: frozenset[str] = frozenset()

    def reduce(self, beat: messages.Heartbeat) -> messages.Heartbeat:
        """Returns the heartbeat with the changes since the last one."""
        held = frozenset(beat.prefixes)
        reduced = beat._replace(
            prefixes=sorted(held - self._told),
            prefixes_gone=sorted(self._told - held),
        )
        self._told = held
        return reduced


class Receiver:
    """What one connection has told, on the entry's side."""

    def __init__(self):
        self._held: frozenset[str] = frozenset()

    def restore(self, beat: messages.Heartbeat) -> messages.Heartbeat:
        """Returns the heartbeat with all prefixes that are cached."""
        self._held = (self._held - set(beat.prefixes_gone)).union(beat.prefixes)
        return beat._replace(prefixes=list(self._held), prefixes_gone=[])
