"""Faults seeded into what decides a stop, which the search must notice."""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Any
from unittest.mock import patch

from msgspec.structs import replace

from azureswitch.gateway import _stopping
from azureswitch.gateway._stopping import EndRequests, Neighbours, StopObserved, Stopping
from azureswitch.serving import _admission
from models import stopping
from models.real_mutations import Mutations
from models.stopping import Host


def _advance_as(
    change: Callable[[Stopping, StopObserved], StopObserved],
) -> AbstractContextManager[object]:
    """Let the reducer see something else than what is the case."""
    advance = _stopping.advance
    return patch.object(_stopping, "advance", lambda s, event: advance(s, change(s, event)))


def _neighbours_as(change: Callable[[Neighbours], Neighbours]) -> AbstractContextManager[object]:
    """Let hosts reckon otherwise what their neighbours do."""
    reckon = _stopping.neighbours_of
    return patch.object(_stopping, "neighbours_of", lambda *known: change(reckon(*known)))


def close_at_once() -> AbstractContextManager[object]:
    """Stop listening with the signal."""
    return patch.object(_stopping, "_may_close", lambda stop, event: True)


def leave_all_first() -> AbstractContextManager[object]:
    """Take every host that leaves for one that listens for longer."""
    return _neighbours_as(lambda n: replace(n, before=0, after=n.before + n.after))


def forget_the_ended() -> AbstractContextManager[object]:
    """Take a host whose neighbours are being loaded for alone."""

    def forget(stop: Stopping, event: StopObserved) -> StopObserved:
        stop.known = 0
        return event

    return _advance_as(forget)


def wait_for_nobody() -> AbstractContextManager[object]:
    """Listen until the grace runs out, whoever serves."""
    return _neighbours_as(lambda n: Neighbours(known=n.known))


def forget_who_left() -> AbstractContextManager[object]:
    """Look only at connections, though a caller may have left its request behind."""
    return _advance_as(lambda stop, event: replace(event, open_requests=0))


def forget_who_sends() -> AbstractContextManager[object]:
    """Look only at requests, though one may be on its way."""
    return _advance_as(lambda stop, event: replace(event, connections=0))


@contextmanager
def end_undecided() -> Iterator[None]:
    """End with the grace, whatever is open."""
    advance = _stopping.advance

    def silent(stop: Stopping, event: StopObserved) -> list[Any]:
        return [e for e in advance(stop, event) if not isinstance(e, EndRequests)]

    with patch.object(_stopping, "advance", silent):
        yield


def wait_for_readers() -> AbstractContextManager[object]:
    """Wait a second for callers to read their last answers."""
    return patch.object(_stopping, "FLUSH_SECONDS", 1.0)


def begin_anything() -> AbstractContextManager[object]:
    """Begin what cannot end."""
    return patch.object(_admission, "_deadline_refusal", lambda *known, now: None)


def begin_anew() -> AbstractContextManager[object]:
    """Count the grace from the last signal."""

    def again(host: Host) -> Host:
        return replace(host, told=host.since)

    return patch.object(stopping, "tell_again", again)


STOPPING_MUTATIONS: Mutations = {
    "close at once": close_at_once,
    "leave all first": leave_all_first,
    "forget the ended": forget_the_ended,
    "wait for nobody": wait_for_nobody,
    "forget who left": forget_who_left,
    "forget who sends": forget_who_sends,
    "end undecided": end_undecided,
    "wait for readers": wait_for_readers,
    "begin anything": begin_anything,
    "begin anew": begin_anew,
}
