"""What a target did, a JSON line a step, for whoever started it."""

import os
import sys
from enum import Enum
from time import monotonic

import msgspec
from xxhash import xxh3_64_hexdigest


class NoteKind(Enum):
    """What happened."""

    STARTED = "it listens"
    LISTED = "its entry is in the store"
    DRAINING = "the store has accepted that it leaves"
    ARRIVED = "a request that is meant for it arrived"
    RUN = "a request began to run"
    REFUSED = "a request was refused and will not run"
    CALLER_LEFT = "the connection of a request that ran was closed by its caller"
    OVER = "a request ended"
    CRASHED = "it was cold and got more requests than it bears"


class Note(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One line.

    Attributes:
        kind: What happened.
        at: When, in seconds of the machine's monotonic clock, which all processes share.
        target: The target's id.
        address: Where it listens, with `NoteKind.STARTED`.
        id: The request's id.
        customer: The customer that the request is said to come from.
        digest: Of the request's method, path and body.
        keyed: Whether the caller's key came along, which it must not.
        left: Seconds that the request is said to have.
        born: When the target's process started, in milliseconds of the wall clock.
    """

    kind: NoteKind
    at: float
    target: str
    address: str = ""
    id: str = ""
    customer: str = ""
    digest: str = ""
    keyed: bool = False
    left: float = 0.0
    born: int = 0


def digest(*, method: str, path: str, body: bytes) -> str:
    """Return a digest of what a request asks for."""
    return xxh3_64_hexdigest(f"{method} {path}\n".encode() + body)


class Notes:
    """Writes the notes of one target to standard output, each at once.

    A target may be killed at any moment, so that nothing waits in a buffer of its own.
    """

    def __init__(self, *, target: str, born: int = 0) -> None:
        self._target = target
        self._born = born

    def write(self, kind: NoteKind, **more: object) -> None:
        """Write a note; further fields are those of `Note`."""
        note = Note(
            kind=kind,
            at=monotonic(),
            target=self._target,
            born=self._born,
            **more,  # type: ignore[arg-type]
        )
        os.write(sys.stdout.fileno(), msgspec.json.encode(note) + b"\n")
