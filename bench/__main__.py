"""Runs every benchmark, writes ``build/bench.json`` and fails where a bound is broken.

Each module of this package that defines ``records()`` is a benchmark.  The deterministic ones run
in CI; what measures real processes has a command of its own.
"""

import sys
from collections.abc import Iterator
from importlib import import_module
from pathlib import Path
from pkgutil import iter_modules

from absl import logging
from msgspec.json import encode, format

import bench
from bench.records import Record

OUTPUT = Path("build/bench.json")
SEPARATE = frozenset({"__main__", "capacity", "faults", "records", "relay", "soak"})
"""Modules that are no benchmark, or measure real processes and have a command of their own."""


def _collect() -> Iterator[Record]:
    for module in iter_modules(bench.__path__):
        if module.name in SEPARATE:
            continue
        measure = getattr(import_module(f"bench.{module.name}"), "records", None)
        if measure is None:
            continue
        print(f"Running {module.name}.", flush=True)
        yield from measure()


def _line(record: Record) -> str:
    bound = "" if record.bound is None else f"{record.direction.value} {record.bound:g}"
    verdict = "ok" if record.holds else "BROKEN"
    return f"{record.name:48} {record.value:14.4f} {record.unit:10} {bound:22} {verdict}"


def main() -> int:
    """Run the benchmarks.

    Returns:
        Zero where every bound holds, else one.
    """
    logging.set_verbosity(logging.ERROR)
    records = tuple(_collect())
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_bytes(format(encode(records)))
    for record in records:
        print(_line(record))
    broken = sum(not record.holds for record in records)
    print(f"{len(records)} records, {broken} over their bounds")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
