"""Membership: decides which peers may get new work and when to dial them.

The platform's list may be out of date, both for instances that start and for
those that stop, so it only determines which peers to dial. Whether a peer may
get new work depends on its connection, its heartbeats and its own `leaving`
flag. All times are in monotonic seconds.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

from samphirevale import backoff, invariants
from samphirevale.ports import objects

# Initial and maximum backoff between two dials of a peer.
INITIAL_DIAL_BACKOFF_SECONDS = 0.1
MAX_DIAL_BACKOFF_SECONDS = 2.0

# How long a peer that is neither listed nor connected is kept.
REMOVAL_DELAY_SECONDS = 30.0

# Number of consecutive heartbeats that end the probation of a suspected peer.
PROBATION_HEARTBEATS = 2

# Maximum number of peers.
PEERS_LIMIT = 4096


class PeerState(NamedTuple):
    """The membership state of one peer.

    Attributes:
        name: the peer's instance name.
        host: the host to dial.
        port: the port to dial.
        listed: whether the platform's list contains the peer.
        list_leaving: whether the list marks the peer as leaving.
        connected: whether there is a connection whose hello was received.
        incarnation: token from the last hello; empty before the first.
        heard_at: when the last frame arrived or the connection was made. While
            the peer is suspected, only heartbeats count.
        leaving: the `leaving` flag of the last heartbeat. A drained peer
            clears it when it is resumed; a stopping peer never does.
        probation_heartbeats: number of heartbeats that the peer must still
            send to end its probation; 0 if it is not on probation.
        failures: number of consecutive failed dials.
        dial_at: earliest time of the next dial.
        gone_at: time since which the peer is neither listed nor connected.
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
    probation_heartbeats: int = 0
    failures: int = 0
    dial_at: float = 0.0
    gone_at: float = 0.0


def is_suspected(peer: PeerState, now: float, suspect_seconds: float) -> bool:
    """Returns whether a connected peer has been silent for too long."""
    return peer.connected and now - peer.heard_at >= suspect_seconds


def may_get_work(peer: PeerState, now: float, suspect_seconds: float) -> bool:
    """Returns whether new attempts may be handed to a peer.

    A peer that the list marks as leaving still gets work, since the list may
    be out of date and a leaving peer announces it by its heartbeats. It gets
    none once it has been silent for half of `suspect_seconds`.
    """
    if not peer.connected or peer.leaving or peer.probation_heartbeats:
        return False
    if is_suspected(peer, now, suspect_seconds):
        return False
    silent = now - peer.heard_at >= suspect_seconds / 2
    return not (peer.list_leaving and silent)


def check_handover(peer: PeerState, now: float) -> bool:
    """Checks the invariant that a leaving peer gets no handover."""
    return invariants.check(
        invariants.LEAVING_GETS_NO_WORK,
        not peer.leaving,
        peer=peer.name,
        now=now,
    )


def mark_connected(peer: PeerState, incarnation: str, now: float) -> PeerState:
    """Returns the peer after its hello.

    A new incarnation starts with a clean state. The same incarnation keeps
    its `leaving` flag and its probation over a new connection.
    """
    restarted = incarnation != peer.incarnation
    return peer._replace(
        connected=True,
        incarnation=incarnation,
        heard_at=now,
        leaving=peer.leaving and not restarted,
        probation_heartbeats=0 if restarted else peer.probation_heartbeats,
        failures=0,
    )


def mark_heartbeat(
    peer: PeerState, leaving: bool, now: float, suspect_seconds: float
) -> PeerState:
    """Returns the peer after a heartbeat."""
    heartbeats_left = max(peer.probation_heartbeats - 1, 0)
    if is_suspected(peer, now, suspect_seconds):
        heartbeats_left = PROBATION_HEARTBEATS - 1
    return peer._replace(
        heard_at=now, leaving=leaving, probation_heartbeats=heartbeats_left
    )


def mark_disconnected(
    peer: PeerState, now: float, rng: random.Random
) -> PeerState:
    """Returns the peer after the end of its connection."""
    disconnected = peer._replace(
        connected=False,
        probation_heartbeats=PROBATION_HEARTBEATS,
        dial_at=now + _compute_dial_backoff(0, rng),
    )
    return disconnected if peer.listed else disconnected._replace(gone_at=now)


def mark_dial_failed(
    peer: PeerState, now: float, rng: random.Random
) -> PeerState:
    """Returns the peer after a failed dial."""
    delay = _compute_dial_backoff(peer.failures, rng)
    return peer._replace(failures=peer.failures + 1, dial_at=now + delay)


def _compute_dial_backoff(failures: int, rng: random.Random) -> float:
    return backoff.compute_pause(
        failures, INITIAL_DIAL_BACKOFF_SECONDS, MAX_DIAL_BACKOFF_SECONDS, rng
    )


def should_dial(peer: PeerState, now: float) -> bool:
    """Returns whether to dial a peer now.

    A peer that is no longer listed is dialled until it is removed, since the
    list may be wrong.
    """
    return not peer.connected and now >= peer.dial_at


def should_close(peer: PeerState, now: float, close_seconds: float) -> bool:
    """Returns whether to close a silent connection and dial again."""
    return peer.connected and now - peer.heard_at >= close_seconds


def should_remove(peer: PeerState, now: float) -> bool:
    """Returns whether to remove a peer."""
    if peer.connected or peer.listed:
        return False
    return now - peer.gone_at >= REMOVAL_DELAY_SECONDS


def update_from_list(
    peers: dict[str, PeerState],
    listed: Iterable[objects.ListedInstance],
    now: float,
) -> dict[str, PeerState]:
    """Returns the peers after a read of the platform's list.

    The list adds peers and updates addresses. It never ends a connection: an
    unlisted peer is removed only some time after it has disconnected.
    """
    by_name = {instance.name: instance for instance in listed}
    result = {}
    for name, peer in peers.items():
        updated = _update_from_list(peer, by_name.pop(name, None), now)
        if not should_remove(updated, now):
            result[name] = updated
    for name, instance in by_name.items():
        if len(result) >= PEERS_LIMIT:
            break
        result[name] = PeerState(
            name=name,
            host=instance.host,
            port=instance.peer_port,
            list_leaving=instance.state == "leaving",
        )
    return result


def _update_from_list(
    peer: PeerState, instance: objects.ListedInstance | None, now: float
) -> PeerState:
    if instance is None:
        gone_at = now if peer.listed else peer.gone_at
        return peer._replace(listed=False, gone_at=gone_at)
    address_changed = (instance.host, instance.peer_port) != (
        peer.host,
        peer.port,
    )
    return peer._replace(
        host=instance.host,
        port=instance.peer_port,
        listed=True,
        list_leaving=instance.state == "leaving",
        dial_at=now if address_changed else peer.dial_at,
        failures=0 if address_changed else peer.failures,
    )
