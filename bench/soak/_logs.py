"""What the hosts' logs say of requests: which were read, and which have no end, or two.

`python -m bench.soak._logs FILE...` checks the logs of any run.
"""

import sys
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from itertools import pairwise
from pathlib import Path

import msgspec

from bench.soak._records import Records

STOPPED = "gateway: Stopped."
ADOPTED = "gateway: Configuration adopted."
ADMITTED = "gateway: Request admitted."
CUT_OFF = "gateway: Request cut off."
REFUSED = "gateway: Request refused."
FAILED = "gateway: Request failed."
ENDS = frozenset(("gateway: Request answered.", FAILED))
SENT = "gateway: Attempt sent."
OVER = "gateway: Attempt over."
CANCELLED = "cancelled"

OVERDUE_SECONDS = 5.0
"""Seconds after its deadline by which a process that runs on has logged a request's end."""


class Line(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a log.

    Attributes:
        time: When it was written, by the process's time of day.
        message: What happened.
        id: The request that it happened to.
        left: The seconds that an admitted request has.
        before: The version before one that was adopted; zero for none.
        left_out: Lines before it that the log's volume did not permit.
        attempt: The number of an attempt.
        targets: The target of an attempt that was sent, and others that help it.
        end: How an attempt ended.
        begun: Whether its target had begun to answer.
    """

    time: float = 0.0
    message: str = ""
    id: str = ""
    left: float = 0.0
    before: int = 1
    left_out: int = 0
    attempt: int = 0
    targets: str = ""
    end: str = ""
    begun: bool = False


def read_log(path: Path, *, starts: Sequence[int], host: str, records: Records) -> None:
    """Note which requests a host has read, and each that it admitted without one end.

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
        admitted = [line for line in lines if line.message == ADMITTED]
        records.admitted |= {f"{host} {line.id}": line.left for line in admitted}
        records.broken |= {f"{host} {id}": targets for id, targets in _broken(lines).items()}
        records.findings += [f"CUT: {host} logged {fault}" for fault in faulty_ends(lines)]
        cut = [line.id for line in lines if line.message == CUT_OFF]
        records.findings += [f"CUT: {host} has cut off {id}" for id in cut]


def _lines(log: Iterable[bytes]) -> Iterator[Line]:
    for line in log:
        try:
            yield msgspec.json.decode(line, type=Line)
        except msgspec.MsgspecError:
            # Standard error also holds what is no entry; that it tells of a fault is checked apart.
            continue


def faulty_ends(process: Sequence[Line]) -> list[str]:
    """Return a line for each request that a process has admitted and whose ends are not one.

    One that is killed logs no ends of what it had open, and a log that left lines out proves
    nothing.
    """
    if any(line.left_out for line in process):
        return []
    stopped = any(line.message == STOPPED for line in process)
    over = process[-1].time - OVERDUE_SECONDS if process else 0.0
    admitted = [line for line in process if line.message == ADMITTED]
    due = Counter(line.id for line in admitted if stopped or line.time + line.left < over)
    counts = Counter(line.id for line in admitted)
    ended = Counter(line.id for line in process if line.message in ENDS)
    return [
        *(f"no end of {id}" for id in sorted(due - ended)),
        *(f"more than one end of {id}" for id in sorted(ended - counts) if id in counts),
    ]


def _broken(process: Sequence[Line]) -> dict[str, tuple[str, ...]]:
    """Return for each failed request the targets at which answers that had begun ended themselves.

    There are none where the host gave up an attempt that still ran.
    """
    broken: dict[str, tuple[str, ...]] = {}
    if any(line.left_out for line in process):
        return broken
    sent: dict[tuple[str, int], str] = {}
    ended: dict[str, tuple[str, ...]] = {}
    for line in process:
        if line.message == SENT:
            sent[line.id, line.attempt] = line.targets.partition(",")[0]
        elif line.message == FAILED:
            broken[line.id] = ended.get(line.id, ())
        elif line.message == OVER and line.end == CANCELLED and line.id in broken:
            broken[line.id] = ()
        elif line.message == OVER and line.end != CANCELLED and line.begun:
            target = sent.get((line.id, line.attempt), "")
            ended[line.id] = (*ended.get(line.id, ()), target)
    return broken


def split(lines: Sequence[Line]) -> list[Sequence[Line]]:
    """Return the lines of each process of a log; its first configuration follows none."""
    first = [n for n, line in enumerate(lines) if line.message == ADOPTED and not line.before]
    return [lines[begin:end] for begin, end in pairwise((0, *first, len(lines)))]


def main(paths: Sequence[str]) -> int:
    """Check the logs of any run, and return 0 where each admitted request has one end."""
    found = admitted = unproved = 0
    for path in map(Path, paths):
        lines = list(_lines(path.read_bytes().splitlines()))
        for process in split(lines):
            admitted += sum(line.message == ADMITTED for line in process)
            unproved += any(line.left_out for line in process)
            for fault in faulty_ends(process):
                print(f"{path.name}: {fault}")
                found += 1
    print(f"{admitted} admitted, {found} without one end, {unproved} processes left lines out")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
