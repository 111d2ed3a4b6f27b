"""Runs the parts, keeps their figures and prints what they come to."""

import sys
from collections.abc import Callable
from pathlib import Path

from msgspec.json import decode, encode, format

from bench.capacity._fleets import configuration, membership, sharing
from bench.capacity._plots import write_plots
from bench.capacity._series import Series
from bench.capacity._serving import serving, state
from bench.capacity._stores import claims, journal, orders, sweep
from bench.capacity._totals import lines
from bench.capacity._wire import wire
from bench.capacity._worst import worst

OUTPUT = Path("build/capacity.json")
PLOTS = Path("docs/capacity")
PARTS: dict[str, Callable[[], list[Series]]] = {
    "wire": wire,
    "serving": serving,
    "state": state,
    "journal": journal,
    "claims": claims,
    "sweep": sweep,
    "orders": orders,
    "configuration": configuration,
    "membership": membership,
    "sharing": sharing,
    "worst": worst,
}


def main(names: list[str]) -> int:
    """Measure some parts, or all."""
    for name in names:
        found = PARTS[name]()
        kept = [item for item in _kept() if item.name not in {new.name for new in found}]
        OUTPUT.parent.mkdir(exist_ok=True)
        OUTPUT.write_bytes(format(encode(kept + found)))
        print(f"measured {name}", flush=True)
    every = sorted(_kept(), key=lambda item: (item.name, item.by))
    write_plots(every, folder=PLOTS)
    for line in lines(every):
        print(line)
    return 0


def _kept() -> list[Series]:
    return decode(OUTPUT.read_bytes(), type=list[Series]) if OUTPUT.exists() else []


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:] or list(PARTS)))
