"""Merging of updates on members."""

from absl import logging
from msgspec.structs import replace

from azureswitch.coordination.membership._messages import RevisionReport, Update
from azureswitch.coordination.membership._model import MemberStatus
from azureswitch.coordination.membership._state import MembershipState


def merge_update(state: MembershipState, update: Update, now: float) -> None:
    """Merge an update from its member itself or from gossip.

    Args:
        state: The view.
        update: The update.
        now: The time.
    """
    if update.host == state._host:
        _refute(state, update)
        return
    known = state._table.get(update.host)
    if known is None:
        if update.status is not MemberStatus.DEAD:
            _store_update(state, update, None, now)
        return
    if update.precedence > known.precedence:
        _store_update(state, update, known, now)
        return
    if update.precedence == known.precedence:
        state.set_revision(host=update.host, revision=update.revision)
        _confirm_suspicion(state, update, now)


def merge_table_row(state: MembershipState, update: Update, now: float) -> None:
    """Merge a row of another member's table, which may be outdated.

    Such a row never makes a member suspect or dead.  Where views differ, the member is probed and
    its answer decides.  Otherwise, after a partition of the network, each side would gossip the
    deaths that it has recorded of the other.
    """
    known = state._table.get(update.host)
    accuses = update.status in {MemberStatus.SUSPECT, MemberStatus.DEAD}
    if known is None or update.host == state._host or known.started < update.started:
        merge_update(state, update, now)
        return
    if known.started > update.started:
        return
    if accuses and known.status is not MemberStatus.DEAD:
        probe_disputed(state, known)
        return
    if not accuses and known.status is MemberStatus.DEAD and update.version <= known.version:
        probe_disputed(state, known)
        return
    merge_update(state, update, now)


def probe_disputed(state: MembershipState, known: Update) -> None:
    """Probe a member next because another member's view of it differs."""
    if known.host not in state._disputed:
        state._disputed.add(known.host)
        state._order.prioritize(known.host)


def merge_report(state: MembershipState, report: RevisionReport) -> None:
    """Merge a report of the hosts on which a revision is in force."""
    if report.hosts:
        added = state._reports.add(revision=report.revision, hosts=report.hosts)
        for host in added:
            state.set_revision(host=host, revision=report.revision)


def suspect(state: MembershipState, known: Update, now: float) -> None:
    """Suspect a member that did not answer, or confirm a suspicion of it."""
    if known.status is MemberStatus.LEAVING:
        _add_suspicion(state, known, state._host, now)
        return
    accusation = replace(known, status=MemberStatus.SUSPECT, accuser=state._host)
    merge_update(state, accusation, now)


def declare_dead(state: MembershipState, known: Update, now: float) -> None:
    """Record and gossip that a member is dead."""
    logging.info("membership: Host %s is dead.", known.host)
    _store_update(state, replace(known, status=MemberStatus.DEAD, accuser=""), known, now)


def _store_update(state: MembershipState, update: Update, known: Update | None, now: float) -> None:
    if known is not None and known.started == update.started:
        update = replace(update, revision=max(update.revision, known.revision))
    state._table.put(update)
    state._gossip.add(update)
    _track_status(state, update, now)
    if known is None or known.started != update.started or known.status is not update.status:
        state._changed = True
    if update.status is MemberStatus.LEAVING and (
        known is None or known.status is not update.status
    ):
        state._urgent.append(update)


def _track_status(state: MembershipState, update: Update, now: float) -> None:
    host = update.host
    state._disputed.discard(host)
    if update.status is MemberStatus.DEAD:
        state._suspicions.clear(host)
        state._order.discard(host)
        state._died_at[host] = now
        return
    state._died_at.pop(host, None)
    state._order.add(host)
    state._suspicions.clear(host)
    if update.status is MemberStatus.SUSPECT:
        _add_suspicion(state, update, update.accuser, now)


def _confirm_suspicion(state: MembershipState, update: Update, now: float) -> None:
    if update.status is not MemberStatus.SUSPECT:
        return
    if _add_suspicion(state, update, update.accuser, now):
        state._gossip.add(update)


def _add_suspicion(state: MembershipState, update: Update, accuser: str, now: float) -> bool:
    return state._suspicions.add(host=update.host, accuser=accuser, now=now, size=state._table.size)


def _refute(state: MembershipState, update: Update) -> None:
    me = state.me
    if update.started > me.started and update.address == me.address:
        # Only one process can listen on the address.  So the update is of an earlier process of
        # this host, and the clock has been set back since that started.  Without a greater start
        # no member would accept this process for as long as the host lives.
        logging.info("membership: The clock of host %s was set back; starting anew.", me.host)
        state.update_self(started=update.started + 1, version=1)
        return
    if update.started != me.started:
        if update.started > me.started:
            logging.warning("membership: Another process speaks for host %s.", me.host)
            return
        state._gossip.add(me)
        return
    if update.precedence <= me.precedence:
        return
    accused = update.status in {MemberStatus.SUSPECT, MemberStatus.DEAD}
    state.update_self(version=update.version + 1)
    if accused:
        state._health.add(1)
