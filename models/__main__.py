"""Checks the core protocols: proofs, searches, seeded mutations, and the real reducers.

Exits with zero where every obligation is proved, no promise is broken and every mutation is
caught.
"""

import sys
from contextlib import AbstractContextManager, ExitStack, redirect_stdout
from dataclasses import dataclass
from io import StringIO
from typing import Any

from absl import logging
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from models import claims_proof, configuration_proof
from models.checker import Spec, prove, search
from models.claims_machine import ClaimsMachine, PromiseBrokenError, tiny_segments
from models.configuration_machine import ConfigurationMachine
from models.real_mutations import CLAIMS_MUTATIONS, CONFIGURATION_MUTATIONS, Mutations
from models.specs import CLAIMS_SPEC, CONFIGURATION_SPEC

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


@dataclass(slots=True, kw_only=True)
class Tally:
    """What was checked, and what went wrong."""

    proved: int = 0
    states: int = 0
    steps: int = 0
    caught: int = 0
    failures: int = 0

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
        tally.states += found.states
        tally.steps += found.steps
        reach = "all states" if found.complete else "the nearest states"
        print(f"searched {spec.name}: {reach}, {found.states}, by {found.steps} steps")
        if found.promise:
            tally.fail(f"{spec.name}: {found.promise}: {'; '.join(found.trace)}")
        for mutation in spec.mutations:
            _check_mutation(tally, spec, mutation)


def _check_mutation(tally: Tally, spec: Spec, mutation: str) -> None:
    found = search(spec, mutation=mutation)
    tally.states += found.states
    tally.steps += found.steps
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
    print(
        f"{tally.proved} obligations proved, {tally.states} states and {tally.steps} steps "
        f"explored, {tally.caught} mutations caught, {tally.failures} failures"
    )
    return 1 if tally.failures else 0


if __name__ == "__main__":
    sys.exit(main())
