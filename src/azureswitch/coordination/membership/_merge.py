"""Taking in what others say of members."""

from absl import logging
from msgspec.structs import replace

from azureswitch.coordination.membership._messages import RevisionReport, Update
from azureswitch.coordination.membership._model import MemberStatus
from azureswitch.coordination.membership._state import MembershipState


def learn(state: MembershipState, update: Update, now: float) -> None:
    """Take in what a member says of itself, or what is spread of it.

    Args:
        state: The view.
        update: What is said.
        now: The time.
    """
    if update.host == state._host:
        _refute(state, update)
        return
    known = state._table.get(update.host)
    if known is None:
        if update.status is not MemberStatus.DEAD:
            _accept(state, update, None, now)
        return
    if update.precedence > known.precedence:
        _accept(state, update, known, now)
        return
    if update.precedence == known.precedence:
        state.set_revision(host=update.host, revision=update.revision)
        _confirm(state, update, now)


def hear(state: MembershipState, update: Update, now: float) -> None:
    """Take in one row of another member's table, which may be old.

    Such a row never makes a member suspect or dead: where views differ, the member is probed and
    speaks for itself.  Otherwise two halves of the fleet, on finding each other again, would
    spread the deaths that each had noted of the other.
    """
    known = state._table.get(update.host)
    accuses = update.status in {MemberStatus.SUSPECT, MemberStatus.DEAD}
    if known is None or update.host == state._host or known.started < update.started:
        learn(state, update, now)
        return
    if known.started > update.started:
        return
    if accuses and known.status is not MemberStatus.DEAD:
        dispute(state, known)
        return
    if not accuses and known.status is MemberStatus.DEAD and update.version <= known.version:
        dispute(state, known)
        return
    learn(state, update, now)


def dispute(state: MembershipState, known: Update) -> None:
    """Probe a member soon because others say otherwise of it."""
    if known.host not in state._disputed:
        state._disputed.add(known.host)
        state._order.ask(known.host)


def hear_report(state: MembershipState, report: RevisionReport) -> None:
    """Take in which hosts have a revision in force."""
    if report.hosts:
        news = state._reports.add(revision=report.revision, hosts=report.hosts)
        for host in news:
            state.set_revision(host=host, revision=report.revision)


def suspect(state: MembershipState, known: Update, now: float) -> None:
    """Begin to suspect a member that did not answer, or confirm that it is suspected."""
    if known.status is MemberStatus.LEAVING:
        _add_suspicion(state, known, state._host, now)
        return
    accusation = replace(known, status=MemberStatus.SUSPECT, accuser=state._host)
    learn(state, accusation, now)


def declare_dead(state: MembershipState, known: Update, now: float) -> None:
    """Note that a member is dead and spread it."""
    logging.info("membership: Host %s is dead.", known.host)
    _accept(state, replace(known, status=MemberStatus.DEAD, accuser=""), known, now)


def _accept(state: MembershipState, update: Update, known: Update | None, now: float) -> None:
    if known is not None and known.started == update.started:
        update = replace(update, revision=max(update.revision, known.revision))
    state._table.put(update)
    state._gossip.add(update)
    _follow(state, update, now)
    if known is None or known.started != update.started or known.status is not update.status:
        state._changed = True
    if update.status is MemberStatus.LEAVING and (
        known is None or known.status is not update.status
    ):
        state._urgent.append(update)


def _follow(state: MembershipState, update: Update, now: float) -> None:
    host = update.host
    state._disputed.discard(host)
    if update.status is MemberStatus.DEAD:
        state._suspicions.clear(host)
        state._order.discard(host)
        state._died[host] = now
        return
    state._died.pop(host, None)
    state._order.add(host)
    state._suspicions.clear(host)
    if update.status is MemberStatus.SUSPECT:
        _add_suspicion(state, update, update.accuser, now)


def _confirm(state: MembershipState, update: Update, now: float) -> None:
    if update.status is not MemberStatus.SUSPECT:
        return
    if _add_suspicion(state, update, update.accuser, now):
        state._gossip.add(update)


def _add_suspicion(state: MembershipState, update: Update, accuser: str, now: float) -> bool:
    return state._suspicions.add(host=update.host, accuser=accuser, now=now, size=state._table.size)


def _refute(state: MembershipState, update: Update) -> None:
    me = state.me
    if update.started > me.started and update.address == me.address:
        # Only one process can listen there, so that this is an earlier one of this host, and the
        # time of day has been set back since it started.  Without a greater number nobody would
        # take this process in for as long as the host lives.
        logging.info("membership: The clock of host %s was set back; starting anew.", me.host)
        state.speak(started=update.started + 1, version=1)
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
    state.speak(version=update.version + 1)
    if accused:
        state._health.add(1)
