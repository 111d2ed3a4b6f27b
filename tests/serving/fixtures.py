"""A small fleet, and a driver that applies events to one host's reducer in virtual time."""

import logging
from collections.abc import Iterator, Sequence
from contextlib import contextmanager, nullcontext
from typing import TypeVar

from absl import logging as absl_logging

from azureswitch.core import (
    CallId,
    CustomerName,
    Effect,
    HostName,
    PlaceName,
    ServiceName,
    TargetName,
)
from azureswitch.inventory import (
    Customer,
    Inventory,
    Place,
    Rules,
    Service,
    ServiceKind,
    Snapshot,
    Target,
    TargetRole,
)
from azureswitch.serving import (
    Call,
    CallArrived,
    FinishCall,
    HostSelf,
    ServingEvent,
    ServingState,
    SnapshotAdopted,
    StartAttempt,
    Ticked,
    reduce,
)

Kind = TypeVar("Kind", bound=Effect)

CUSTOMERS = tuple(CustomerName(name) for name in ("ann", "bob", "cid"))


def engine(name: str, *, place: str = "a1", role: TargetRole = TargetRole.SERVING) -> Target:
    """Return an engine that serves the model of `model_call`."""
    return Target(
        name=TargetName(name),
        service=ServiceName("llm"),
        place=PlaceName(place),
        address=f"127.0.0.1:{name}",
        role=role,
        models=("base",),
        memory=480_000,
    )


def booking(name: str) -> Target:
    """Return a target of the plain service."""
    return Target(
        name=TargetName(name), service=ServiceName("book"), place=PlaceName("a1"), address=name
    )


def snapshot(
    *,
    revision: int = 1,
    targets: Sequence[Target] = (),
    limit: float = 0.0,
    rules: Rules | None = None,
) -> Snapshot:
    """Return a configuration with two places in one region and one in another."""
    inventory = Inventory(
        places=tuple(Place(name=PlaceName(name), region=name[0]) for name in ("a1", "a2", "b1")),
        services=(
            Service(name=ServiceName("llm"), kind=ServiceKind.MODEL),
            Service(name=ServiceName("book"), kind=ServiceKind.PLAIN),
        ),
        targets=tuple(targets) or (*map(engine, ("e1", "e2", "e3", "e4")), booking("s1")),
        customers=tuple(Customer(name=name, key_hash="", limit=limit) for name in CUSTOMERS),
    )
    return Snapshot(revision=revision, inventory=inventory, rules=rules or Rules())


def model_call(call: str, *, customer: str = "ann", tokens: int = 1_000, **more: object) -> Call:
    """Return a call to the model."""
    fields: dict[str, object] = {"deadline": 60.0, "output_tokens": 100, **more}
    return Call(
        id=CallId(call),
        customer=CustomerName(customer),
        service=ServiceName("llm"),
        model="base",
        prompt_tokens=tokens,
        **fields,  # type: ignore[arg-type]
    )


def plain_call(call: str, *, repeatable: bool = False, deadline: float = 10.0) -> Call:
    """Return a call to the plain service."""
    return Call(
        id=CallId(call),
        customer=CUSTOMERS[0],
        service=ServiceName("book"),
        deadline=deadline,
        repeatable=repeatable,
        idempotency_key="key",
    )


class RaisingHandler(logging.Handler):
    """Raises the exceptions that the reducer contains and logs, so that they fail the test."""

    def emit(self, record: logging.LogRecord) -> None:
        """Raise the exception of a log record, if it has one."""
        if record.exc_info and record.exc_info[1]:
            raise record.exc_info[1]


@contextmanager
def faults_raised() -> Iterator[None]:
    """Raise each exception that the reducer logs while the context is open."""
    handler = RaisingHandler(level=logging.ERROR)
    logger = absl_logging.get_absl_logger()
    logger.addHandler(handler)
    try:
        yield
    finally:
        logger.removeHandler(handler)


class Driver:
    """One host's reducer, its clock and all effects so far.

    Args:
        config: The configuration, or None for the default one.
        seed: Seeds every random choice.
        faulty: Whether the test injects exceptions, which are then not raised.
    """

    def __init__(
        self, *, config: Snapshot | None = None, seed: int = 1, faulty: bool = False
    ) -> None:
        self._faulty = faulty
        myself = HostSelf(name=HostName("h1"), place=PlaceName("a1"), started=1)
        self.state = ServingState(myself=myself, seed=seed)
        self.now = 0.0
        self.effects: list[Effect] = []
        self.send(SnapshotAdopted(now=0.0, snapshot=config or snapshot()))

    def send(self, event: ServingEvent) -> list[Effect]:
        """Apply one event and return its effects."""
        with nullcontext() if self._faulty else faults_raised():
            effects = list(reduce(self.state, event))
        self.effects += effects
        return effects

    def arrive(self, call: Call) -> list[Effect]:
        """Let a call arrive now."""
        return self.send(CallArrived(now=self.now, call=call))

    def tick(self, until: float) -> list[Effect]:
        """Advance the clock in ticks and return the effects."""
        effects: list[Effect] = []
        while self.now < until:
            self.now = round(self.now + 0.05, 6)
            effects += self.send(Ticked(now=self.now))
        return effects

    def start_all(self, calls: Sequence[Call]) -> list[StartAttempt]:
        """Let calls arrive and return the attempts that this starts."""
        return [start for call in calls for start in only(StartAttempt, self.arrive(call))]

    def error(self, call: str) -> object:
        """Return the error of the call's only final answer, or None if it succeeded."""
        (finish,) = (e for e in only(FinishCall, self.effects) if e.call == call)
        return finish.error


def only(kind: type[Kind], effects: Sequence[Effect]) -> list[Kind]:
    """Return the effects of one type."""
    return [effect for effect in effects if isinstance(effect, kind)]
