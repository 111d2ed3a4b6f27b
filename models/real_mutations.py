"""Faults seeded into the real reducers, which the state machines must notice."""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Any, TypeAlias
from unittest.mock import patch

from azureswitch.coordination.claims import _batches, _claimer, _rules
from azureswitch.coordination.claims._messages import Verdict
from azureswitch.coordination.claims._model import RecordState
from models.claims_machine import ClaimsMachine
from models.configuration_machine import ConfigurationMachine


@contextmanager
def send_before_commit() -> Iterator[None]:
    """Reply to requests before the write of their batch has ended."""
    write = _batches._write

    def eager(shard: Any, event: Any, state: Any, batch: Any, changes: Any) -> Any:
        return (*write(shard, event, state, batch, changes), *_batches.replies(batch))

    with patch.object(_batches, "_write", eager):
        yield


@contextmanager
def ignore_version() -> Iterator[None]:
    """Write heads without a condition."""
    with patch.object(ClaimsMachine, "ignores_version", True):
        yield


@contextmanager
def reuse_after_unknown() -> Iterator[None]:
    """Grant a key again whose outcome is unknown."""
    with patch.object(_batches, "decide", _ignoring(RecordState.UNKNOWN)):
        yield


@contextmanager
def lease_by_clock() -> Iterator[None]:
    """Grant a key again whose claimer has been silent."""
    with patch.object(_batches, "decide", _ignoring(RecordState.CLAIMED)):
        yield


def _ignoring(state: RecordState) -> Callable[..., Any]:
    decide = _rules.decide

    def decide_without(*, record: Any, request: Any, at: int, alive: Any) -> Any:
        decision = decide(record=record, request=request, at=at, alive=alive)
        refused = decision.verdict in (Verdict.LOST, Verdict.IN_PROGRESS)
        if refused and record is not None and record.state is state:
            return decide(record=None, request=request, at=at, alive=alive)
        return decision

    return decide_without


@contextmanager
def forget_abandoned() -> Iterator[None]:
    """Give a claim up without reporting it, so that a late commit takes the key for good."""

    def silent(hold: Any, state: Any) -> Any:
        hold.phase = _claimer._Phase.LATE
        hold.expires_at = float("inf")
        return ()

    with patch.object(_claimer, "_abandon", silent):
        yield


def accept_lower_revision() -> AbstractContextManager[object]:
    """Adopt any body that arrives."""
    return patch.object(ConfigurationMachine, "forgets_revision", True)


def serve_by_first_answer() -> AbstractContextManager[object]:
    """Start by the first host that answers."""
    return patch.object(ConfigurationMachine, "serves_first_answer", True)


Mutation: TypeAlias = Callable[[], AbstractContextManager[object]]

Mutations: TypeAlias = dict[str, Mutation]

CLAIMS_MUTATIONS: Mutations = {
    "send before commit": send_before_commit,
    "ignore version": ignore_version,
    "reuse after unknown": reuse_after_unknown,
    "lease by clock": lease_by_clock,
    "forget abandoned claims": forget_abandoned,
}

CONFIGURATION_MUTATIONS: Mutations = {
    "accept lower revision": accept_lower_revision,
    "serve by the first answer": serve_by_first_answer,
}
