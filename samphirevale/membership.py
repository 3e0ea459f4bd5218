"""Membership: which peers may take new work, and when to dial them.

The platform's list lags both ways, so it only proposes whom to dial. Whether
a peer takes new work follows from its connection, its heartbeats and its own
word. All times are monotonic seconds.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

from samphirevale import backoff, invariants
from samphirevale.ports import objects

# The first and the longest pause between two dials of a peer, in seconds.
FIRST_DIAL_SECONDS = 0.1
LONGEST_DIAL_SECONDS = 2.0

# How long a peer that is neither listed nor connected is remembered, in
# seconds.
FORGET_SECONDS = 30.0

# How many heartbeats in a row a suspected peer must send to be trusted again.
PROBE_HEARTBEATS = 2

# The most peers that are remembered.
PEERS_LIMIT = 4096


class Peer(NamedTuple):
    """What is known of one peer.

    Attributes:
        name: its instance name.
        host: its address.
        port: the port to dial.
        listed: the platform's list names it.
        list_leaving: the list says that it is leaving.
        connected: a connection has been made and its hello been read.
        incarnation: from its hello; empty before the first.
        heard_at: when its last frame came, or the connection was made.
        leaving: its latest word. One that is drained takes it back when it
            is resumed; one that stops does not.
        probing: it was suspected; heartbeats still to come until it is
            trusted again.
        failures: dials that have failed in a row.
        dial_at: not dialled before this time.
        gone_at: since when it is neither listed nor connected.
    """

    name: str
    host: str
    port: int
    listed: bool = True
    list_leaving: bool = False
    connected: bool = False
    incarnation: str = ""
    heard_at: float = 0.0
    leaving: bool = False
    probing: int = 0
    failures: int = 0
    dial_at: float = 0.0
    gone_at: float = 0.0


def is_suspected(peer: Peer, now: float, suspect_seconds: float) -> bool:
    """Tells whether a connected peer has been silent for too long."""
    return peer.connected and now - peer.heard_at >= suspect_seconds


def may_take_new_work(peer: Peer, now: float, suspect_seconds: float) -> bool:
    """Tells whether new attempts may be handed to a peer.

    The list's word alone keeps nobody from work: it may be late either way,
    and a peer that leaves says so itself. Only when the list has it leaving,
    and it has not been heard since the last interval, it gets none.
    """
    if not peer.connected or peer.leaving or peer.probing:
        return False
    if is_suspected(peer, now, suspect_seconds):
        return False
    late = now - peer.heard_at >= suspect_seconds / 2
    return not (peer.list_leaving and late)


def check_hand_over(peer: Peer, now: float) -> bool:
    """Asserts, at a hand-over, that the peer has not said it is leaving."""
    return invariants.check(
        invariants.LEAVING_GETS_NO_WORK,
        not peer.leaving,
        peer=peer.name,
        now=now,
    )


def mark_connected(peer: Peer, incarnation: str, now: float) -> Peer:
    """Returns the peer after its hello.

    A new incarnation starts afresh. One that was suspected is probed first,
    also over a new connection.
    """
    restarted = incarnation != peer.incarnation
    return peer._replace(
        connected=True,
        incarnation=incarnation,
        heard_at=now,
        leaving=peer.leaving and not restarted,
        probing=0 if restarted else peer.probing,
        failures=0,
    )


def mark_heartbeat(
    peer: Peer, leaving: bool, now: float, suspect_seconds: float
) -> Peer:
    """Returns the peer after a heartbeat."""
    probing = max(peer.probing - 1, 0)
    if is_suspected(peer, now, suspect_seconds):
        probing = PROBE_HEARTBEATS - 1
    return peer._replace(heard_at=now, leaving=leaving, probing=probing)


def mark_disconnected(peer: Peer, now: float, rng: random.Random) -> Peer:
    """Returns the peer after its connection has ended."""
    gone = peer._replace(
        connected=False,
        probing=PROBE_HEARTBEATS,
        dial_at=now + _compute_dial_pause(0, rng),
    )
    return gone if peer.listed else gone._replace(gone_at=now)


def mark_dial_failed(peer: Peer, now: float, rng: random.Random) -> Peer:
    """Returns the peer after a dial that made no connection."""
    pause = _compute_dial_pause(peer.failures, rng)
    return peer._replace(failures=peer.failures + 1, dial_at=now + pause)


def _compute_dial_pause(failures: int, rng: random.Random) -> float:
    return backoff.compute_pause(
        failures, FIRST_DIAL_SECONDS, LONGEST_DIAL_SECONDS, rng
    )


def should_dial(peer: Peer, now: float) -> bool:
    """Tells whether to dial a peer now.

    One that has left the list is still dialled until it is forgotten, as
    the list may be wrong.
    """
    return not peer.connected and now >= peer.dial_at


def should_close(peer: Peer, now: float, close_seconds: float) -> bool:
    """Tells whether a silent connection is to be closed and dialled anew."""
    return peer.connected and now - peer.heard_at >= close_seconds


def should_forget(peer: Peer, now: float) -> bool:
    """Tells whether a peer may be dropped from memory."""
    if peer.connected or peer.listed:
        return False
    return now - peer.gone_at >= FORGET_SECONDS


def adopt_list(
    peers: dict[str, Peer],
    listed: Iterable[objects.ListedInstance],
    now: float,
) -> dict[str, Peer]:
    """Returns the peers after a reading of the platform's list.

    The list adds peers and moves addresses. It ends no connection, and one
    that is missing from it is forgotten only once it is disconnected too.
    """
    by_name = {item.name: item for item in listed}
    result = {}
    for name, peer in peers.items():
        updated = _adopt_item(peer, by_name.pop(name, None), now)
        if not should_forget(updated, now):
            result[name] = updated
    for name, item in by_name.items():
        if len(result) >= PEERS_LIMIT:
            break
        result[name] = Peer(
            name=name,
            host=item.host,
            port=item.peer_port,
            list_leaving=item.state == "leaving",
        )
    return result


def _adopt_item(
    peer: Peer, item: objects.ListedInstance | None, now: float
) -> Peer:
    if item is None:
        gone_at = now if peer.listed else peer.gone_at
        return peer._replace(listed=False, gone_at=gone_at)
    moved = (item.host, item.peer_port) != (peer.host, peer.port)
    return peer._replace(
        host=item.host,
        port=item.peer_port,
        listed=True,
        list_leaving=item.state == "leaving",
        dial_at=now if moved else peer.dial_at,
        failures=0 if moved else peer.failures,
    )
