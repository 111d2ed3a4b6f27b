"""Why a request would be admitted and where it would go."""

from functools import singledispatch

from msgspec import Struct

from azureswitch.commands._loads import EngineLoad
from azureswitch.core import CallId, CustomerName, Effect, HostName, PlaceName, ServiceName
from azureswitch.exceptions import AzureswitchError, UnknownCustomerError, UnknownModelError
from azureswitch.inventory import Customer, Rules, Service, ServiceKind, Snapshot, shown
from azureswitch.serving import (
    Call,
    CallArrived,
    ClaimCall,
    ClaimGranted,
    FinishCall,
    HostSelf,
    LoadReported,
    ServingEvent,
    ServingState,
    SnapshotAdopted,
    StartAttempt,
    TargetUnreachable,
    reduce,
)

_CALL = CallId("explain")


class Question(Struct, frozen=True, kw_only=True):
    """A request as an operator describes it.

    Attributes:
        customer: Who sends it.
        model: The model, or empty for a call to a plain service.
        service: The plain service, or empty for a completion.
        method: The method of a call to a plain service.
        prompt_tokens: Tokens of the prompt.
        output_tokens: Output tokens asked for.
        timeout: Seconds that the caller gives it, or None for the rule's.
        place: The failure domain of the entry host.
    """

    customer: str
    model: str = ""
    service: str = ""
    method: str = "POST"
    prompt_tokens: int = 0
    output_tokens: int = 0
    timeout: float | None = None
    place: str = ""


class Explanation(Struct, frozen=True, kw_only=True):
    """What would become of a request.

    Attributes:
        revision: The configuration that it is explained by.
        live: Whether the engines' load reports were taken into account; else they count as idle.
        admitted: Whether it would be admitted.
        steps: What is decided, in order, a sentence each.
        targets: Where it would be sent first; several where it is larger than one engine's memory.
        error: The stable name of the refusal, or empty.
        retry_after: Seconds after which the caller is told to come back, or None.
    """

    revision: int
    live: bool
    admitted: bool
    steps: tuple[str, ...]
    targets: tuple[str, ...] = ()
    error: str = ""
    retry_after: float | None = None


def explain(
    snapshot: Snapshot, question: Question, *, loads: tuple[EngineLoad, ...] = ()
) -> Explanation:
    """Put a request to the reducer that entry hosts run.

    Args:
        snapshot: The configuration.
        question: The request.
        loads: What the engines say of their load; without it, they count as idle.

    Returns:
        What would become of it.

    Raises:
        UnknownCustomerError: The inventory holds no such customer.
    """
    customer = _customer(snapshot, question.customer)
    service = _service(snapshot, question)
    timeout = question.timeout or _rule_timeout(question, snapshot.rules)
    steps = [_weight_step(customer), _timeout_step(question, timeout)]
    call = Call(
        id=_CALL,
        customer=customer.name,
        service=service.name if service else ServiceName(question.service),
        model=question.model,
        prompt_tokens=question.prompt_tokens,
        output_tokens=question.output_tokens,
        deadline=timeout,
        repeatable=_repeatable(service, question),
        idempotency_key=None,
    )
    steps += _evacuation_steps(snapshot, call.service)
    effects = _decide(snapshot, question, call, loads)
    for effect in effects:
        steps += _step(effect)
    return _explanation(snapshot.revision, effects, tuple(steps), live=bool(loads))


def _decide(
    snapshot: Snapshot, question: Question, call: Call, loads: tuple[EngineLoad, ...]
) -> tuple[Effect, ...]:
    if question.model and not call.service:
        return (FinishCall(call=_CALL, error=UnknownModelError(model=question.model)),)
    myself = HostSelf(name=HostName("explain"), place=PlaceName(question.place), started=0)
    state = ServingState(myself=myself, seed=0)
    reduce(state, SnapshotAdopted(now=0.0, snapshot=snapshot))
    for load in loads:
        reduce(state, _load_event(load))
    effects = tuple(reduce(state, CallArrived(now=0.0, call=call)))
    if any(isinstance(effect, ClaimCall) for effect in effects):
        effects += tuple(reduce(state, ClaimGranted(now=0.0, call=_CALL)))
    return effects


def _load_event(load: EngineLoad) -> ServingEvent:
    if load.report is None:
        return TargetUnreachable(now=0.0, target=load.target.name)
    return LoadReported(now=0.0, report=load.report)


def _customer(snapshot: Snapshot, name: str) -> Customer:
    for customer in snapshot.inventory.customers:
        if customer.name == CustomerName(name):
            return customer
    raise UnknownCustomerError(customer=name)


def _service(snapshot: Snapshot, question: Question) -> Service | None:
    """Return the service asked for, which for a completion is that of its model."""
    wanted = question.service or next(
        (t.service for t in snapshot.inventory.targets if question.model in t.models), ""
    )
    return next((s for s in snapshot.inventory.services if s.name == wanted), None)


def _repeatable(service: Service | None, question: Question) -> bool:
    if service is None or service.kind is ServiceKind.MODEL:
        return True
    return question.method in service.repeatable_methods


def _rule_timeout(question: Question, rules: Rules) -> float:
    if not question.model:
        return rules.plain_deadline
    return (
        rules.long_deadline if question.prompt_tokens >= rules.long_prompt else rules.short_deadline
    )


def _weight_step(customer: Customer) -> str:
    limit = (
        f"a limit of {customer.limit:g} engine seconds a second" if customer.limit else "no limit"
    )
    return f"Customer {customer.name} has weight {customer.weight:g} and {limit}."


def _timeout_step(question: Question, timeout: float) -> str:
    source = "the caller's own" if question.timeout else "that of the rules"
    return f"It may take {timeout:g} s, which is {source}."


def _evacuation_steps(snapshot: Snapshot, service: ServiceName) -> list[str]:
    """Return a sentence for each evacuated place in which the service has targets."""
    steps = []
    for place in snapshot.inventory.places:
        excluded = sum(
            target.service == service and target.place == place.name
            for target in snapshot.inventory.targets
        )
        if place.evacuation is not None and excluded:
            why = shown(place.evacuation)
            steps.append(f"Place {place.name} is evacuated {why}; its targets here: {excluded}.")
    return steps


@singledispatch
def _step(effect: Effect) -> list[str]:
    return []


@_step.register
def _(effect: ClaimCall) -> list[str]:
    return ["It may not repeat, so it is claimed before it is sent, and is sent once."]


@_step.register
def _(effect: StartAttempt) -> list[str]:
    names = ", ".join(effect.targets)
    return [f"It is sent to {names} with priority {effect.priority} (smaller runs first)."]


@_step.register
def _(effect: FinishCall) -> list[str]:
    return [f"It is refused: {effect.error}"] if effect.error else []


def _explanation(
    revision: int, effects: tuple[Effect, ...], steps: tuple[str, ...], *, live: bool
) -> Explanation:
    error: AzureswitchError | None = None
    targets: tuple[str, ...] = ()
    for effect in effects:
        if isinstance(effect, FinishCall):
            error = effect.error
        elif isinstance(effect, StartAttempt):
            targets = effect.targets
    if error is None and not targets:
        steps = (*steps, "No target has room now, so that it waits in the host's queue.")
    return Explanation(
        revision=revision,
        live=live,
        admitted=error is None,
        steps=steps,
        targets=targets,
        error=error.code if error else "",
        retry_after=error.retry_after if error else None,
    )
