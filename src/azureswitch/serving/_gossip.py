"""Publication of this host's digests, their receivers, and what counts of received ones."""

from msgspec.structs import replace

from azureswitch.core import Effect
from azureswitch.serving._digests import Digest, DomainTotals
from azureswitch.serving._effects import PublishDigest, PublishTotals
from azureswitch.serving._state import ServingState


def publish_digest(state: ServingState, *, regular: bool = False, now: float) -> list[Effect]:
    """Return the effect that publishes a digest; a regular one also repeats known reports."""
    return [_digest(state, regular=regular, now=now)]


def _digest(state: ServingState, *, regular: bool, now: float) -> PublishDigest:
    everywhere = state.crashes.has_unreported or state.limits.has_unreported
    may_wait = not everywhere and not state.ledger.begun
    digest = Digest(
        host=state.myself.name,
        sequence=state.next_digest(now=now),
        started=state.myself.started,
        suspects=state.fleet.suspects(now=now),
        occupancies=state.ledger.collect_account(),
        crashes=state.crashes.collect_reports(now=now, regular=regular),
        limits=state.limits.collect_reports(now=now, regular=regular),
    )
    if not state.lean:
        digest = replace(
            digest,
            loads=state.fleet.loads(),
            uses=state.fairness.uses(),
            demands=state.split.demands(now),
            saved=state.fleet.saved(now=now),
        )
    starts = state.starts.select(digest.targets)
    places = (state.fleet.place(item.target) for item in digest.occupancies)
    audience = state.domains.audience(filter(None, places), regular=regular)
    if everywhere and audience is not None and state.snapshot is not None:
        # Any host may receive a request that crashes targets next, so the report goes to all.
        audience = frozenset(place.name for place in state.snapshot.inventory.places)
    return PublishDigest(
        digest=replace(digest, starts=starts),
        regular=regular and not everywhere,
        places=audience,
        may_wait=may_wait,
    )


def publish_totals(state: ServingState) -> list[Effect]:
    """In a large fleet, publish the load of all hosts at the targets of this failure domain."""
    if not state.domains.divided:
        return []
    own = state.myself.place
    totals = DomainTotals(place=own, occupancies=state.ledger.totals(state.fleet.within(own)))
    return [PublishTotals(totals=totals)]


def without_mismatched_starts(state: ServingState, digest: Digest) -> Digest:
    """Return a digest without its reports on targets whose start differs from the one known here.

    Dropping them is safe, as these parts are valid for 2 s at most and repeated each second.  The
    occupancies are sent only when they change; the ledger matches them to starts itself.
    """
    mismatched = state.starts.ended(digest.starts)
    if not mismatched:
        return digest
    return replace(
        digest,
        loads=tuple(load for load in digest.loads if load.target not in mismatched),
        suspects=tuple(name for name in digest.suspects if name not in mismatched),
        saved=tuple(name for name in digest.saved if name not in mismatched),
    )
