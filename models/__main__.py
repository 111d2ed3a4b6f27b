"""Checks the core protocols and stops: proofs, searches, seeded mutations, the real reducers.

Exits with zero where every obligation is proved, no promise is broken and every mutation is
caught.
"""

import sys
from contextlib import AbstractContextManager, ExitStack, redirect_stdout
from io import StringIO
from typing import Any

from absl import logging
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test
from msgspec import Struct

from models import claims_proof, configuration_proof
from models.checker import Search, Spec, prove, search
from models.claims_machine import ClaimsMachine, PromiseBrokenError, tiny_segments
from models.configuration_machine import ConfigurationMachine
from models.real_mutations import CLAIMS_MUTATIONS, CONFIGURATION_MUTATIONS, Mutation, Mutations
from models.specs import CLAIMS_SPEC, CONFIGURATION_SPEC
from models.stopping import PROMISES
from models.stopping_mutations import STOPPING_MUTATIONS
from models.stopping_search import DOMAINS, KNOWN, SEEDED, search_stops

EXAMPLES = 150
"""Random runs of one state machine."""

STEPS = 30
"""Steps of one random run."""

SHOWN = 8
"""Last steps shown of a random run that broke a promise."""

SPECS = (
    (CLAIMS_SPEC, claims_proof.invariant),
    (CONFIGURATION_SPEC, configuration_proof.invariant),
)


class Tally(Struct, kw_only=True):
    """What was checked, and what went wrong."""

    proved: int = 0
    states: int = 0
    steps: int = 0
    caught: int = 0
    known: int = 0
    failures: int = 0

    def add(self, found: Search) -> None:
        """Count what a search visited."""
        self.states += found.states
        self.steps += found.steps

    def fail(self, text: str) -> None:
        """Note that something went wrong."""
        self.failures += 1
        print(f"FAILED  {text}")


def _check_proofs(tally: Tally) -> None:
    for spec, invariant in SPECS:
        for obligation in prove(spec, invariant):
            if obligation.proved:
                tally.proved += 1
            else:
                tally.fail(f"{spec.name}: not proved: {obligation.name}")


def _check_searches(tally: Tally) -> None:
    for spec, _ in SPECS:
        found = search(spec)
        tally.add(found)
        reach = "all states" if found.complete else "the nearest states"
        print(f"searched {spec.name}: {reach}, {found.states}, by {found.steps} steps")
        if found.promise:
            tally.fail(f"{spec.name}: {found.promise}: {'; '.join(found.trace)}")
        for mutation in spec.mutations:
            _check_mutation(tally, spec, mutation)


def _check_mutation(tally: Tally, spec: Spec, mutation: str) -> None:
    found = search(spec, mutation=mutation)
    tally.add(found)
    if not found.promise:
        tally.fail(f"{spec.name}: mutation {mutation!r} was not caught")
        return
    tally.caught += 1
    print(f"caught  {spec.name}: {mutation}: breaks {found.promise!r}: {'; '.join(found.trace)}")


def _drive(machine: type[RuleBasedStateMachine], *broken: AbstractContextManager[object]) -> str:
    """Run a state machine on the real reducers; return the promise that it broke, or nothing."""
    bounds = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        phases=(Phase.generate,),
        report_multiple_bugs=False,
        suppress_health_check=tuple(HealthCheck),
    )
    with ExitStack() as stack:
        stack.enter_context(tiny_segments())
        for item in broken:
            stack.enter_context(item)
        stack.enter_context(redirect_stdout(StringIO()))
        try:
            run_state_machine_as_test(machine, settings=bounds)
        except PromiseBrokenError as error:
            return str(error)
    return ""


def _check_reducers(tally: Tally) -> None:
    machines: tuple[tuple[str, Any, Mutations], ...] = (
        ("claims", ClaimsMachine, CLAIMS_MUTATIONS),
        ("configuration", ConfigurationMachine, CONFIGURATION_MUTATIONS),
    )
    for name, machine, mutations in machines:
        before = machine.steps_taken
        broken = _drive(machine)
        if broken:
            tally.fail(f"real {name}: {broken}: {'; '.join(machine.last_trace)}")
        print(f"drove   real {name}: {machine.steps_taken - before} steps")
        tally.steps += machine.steps_taken - before
        for mutation, broken_by in mutations.items():
            promise = _drive(machine, broken_by())
            if not promise:
                tally.fail(f"real {name}: mutation {mutation!r} was not caught")
                continue
            tally.caught += 1
            trace = machine.last_trace
            shown = "; ".join(trace[-SHOWN:])
            print(
                f"caught  real {name}: {mutation}: breaks {promise!r} in {len(trace)} steps: "
                f"... {shown}"
            )


def _check_stops(tally: Tally) -> None:
    for name, bounds in DOMAINS.items():
        found = search_stops(bounds)
        tally.add(found)
        if found.promise:
            tally.fail(f"stops of {name}: {found.promise}: {'; '.join(found.trace)}")
        elif not found.complete:
            tally.fail(f"stops of {name}: not all states were visited")
        print(f"searched stops of {name}: {found.states} states, by {found.steps} steps")
    _check_known(tally)
    for mutation, broken_by in STOPPING_MUTATIONS.items():
        _check_stop_mutation(tally, mutation, broken_by)


def _check_known(tally: Tally) -> None:
    """Look for faults that are known; that one is gone is a failure, as it is still listed."""
    for promise, bounds in KNOWN.items():
        found = search_stops(bounds, promises=(*PROMISES, promise))
        tally.add(found)
        if found.promise != promise:
            tally.fail(f"stops: no longer broken: {promise!r}; it can be promised")
            continue
        tally.known += 1
        print(f"known   stops: not kept: {promise!r}: {'; '.join(found.trace)}")


def _check_stop_mutation(tally: Tally, mutation: str, broken_by: Mutation) -> None:
    with broken_by():
        found = search_stops(SEEDED)
    tally.add(found)
    if not found.promise:
        tally.fail(f"stops: mutation {mutation!r} was not caught")
        return
    tally.caught += 1
    print(f"caught  stops: {mutation}: breaks {found.promise!r}: {'; '.join(found.trace)}")


def main() -> int:
    """Run every check.

    Returns:
        Zero where all hold, else one.
    """
    logging.set_verbosity(logging.ERROR)
    tally = Tally()
    _check_proofs(tally)
    _check_searches(tally)
    _check_reducers(tally)
    _check_stops(tally)
    print(
        f"{tally.proved} obligations proved, {tally.states} states and {tally.steps} steps "
        f"explored, {tally.caught} mutations caught, {tally.known} known and open, "
        f"{tally.failures} failures"
    )
    return 1 if tally.failures else 0


if __name__ == "__main__":
    sys.exit(main())
