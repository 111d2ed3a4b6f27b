"""What a target answers, which follows from the request's id, so that a reader can check it."""

from xxhash import xxh3_64_hexdigest, xxh3_64_intdigest

LEAST_EVENTS = 4
MORE_EVENTS = 20
"""Streams have from `LEAST_EVENTS` to `LEAST_EVENTS` + `MORE_EVENTS` - 1 events."""

ANSWER_BYTES = 800
"""Bytes of a plain answer, as many as the users' booking service sends."""


def answer_body(id: str) -> bytes:
    """Return the whole body of a plain answer to a request."""
    return f"answer to {id} ".encode().ljust(ANSWER_BYTES, b".")


def event_count(id: str) -> int:
    """Return how many events a stream has."""
    return LEAST_EVENTS + xxh3_64_intdigest(id.encode()) % MORE_EVENTS


def event(id: str, number: int) -> bytes:
    """Return one event of a stream, counted from 1."""
    return f"id: {number}\ndata: {id} {number}\n\n".encode()


def seal(id: str, *, born: int = 0) -> str:
    """Return the mark that a target puts on its answer to a request.

    Args:
        id: The request.
        born: When the target's process started, which tells its starts apart.
    """
    return xxh3_64_hexdigest(f"seal {id} {born}".encode())
