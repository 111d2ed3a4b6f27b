"""What the hosts' logs say of requests: which were read, and which have no end."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from itertools import pairwise
from pathlib import Path

import msgspec

from bench.soak._records import Records

STOPPED = "gateway: Stopped."
ADMITTED = "gateway: Request admitted."
CUT_OFF = "gateway: Request cut off."
REFUSED = "gateway: Request refused."
ENDS = frozenset((REFUSED, "gateway: Request answered.", "gateway: Request failed."))


class Line(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a log.

    Attributes:
        message: What happened.
        id: The request that it happened to.
        left_out: Lines before it that the log's volume did not permit.
    """

    message: str = ""
    id: str = ""
    left_out: int = 0


def read_log(path: Path, *, starts: Sequence[int], host: str, records: Records) -> None:
    """Note which requests a host has read, and each that it admitted without logging its end.

    Args:
        path: Its log.
        starts: Where the lines of each of its processes begin, in bytes.  The line that tells of a
            start is no mark: requests that waited meanwhile are taken before it.
        host: Its name.
        records: Takes what is found.
    """
    text = path.read_bytes()
    for begin, end in pairwise((*starts, len(text))):
        lines = list(_lines(text[begin:end].splitlines()))
        records.read |= {(host, line.id) for line in lines if line.message in (ADMITTED, REFUSED)}
        records.findings += [f"CUT: {host} logged no end of {id}" for id in _endless(lines)]
        cut = [line.id for line in lines if line.message == CUT_OFF]
        records.findings += [f"CUT: {host} has cut off {id}" for id in cut]


def _lines(log: Iterable[bytes]) -> Iterator[Line]:
    for line in log:
        try:
            yield msgspec.json.decode(line, type=Line)
        except msgspec.MsgspecError:
            # Standard error also holds what is no entry; that it tells of a fault is checked apart.
            continue


def _endless(process: list[Line]) -> list[str]:
    """Return the requests without an end of a process that stopped of its own will.

    One that is killed logs no ends, and a log that left lines out proves nothing.
    """
    if all(line.message != STOPPED for line in process) or any(line.left_out for line in process):
        return []
    admitted = Counter(line.id for line in process if line.message == ADMITTED)
    ended = Counter(line.id for line in process if line.message in ENDS)
    return sorted(admitted - ended)
