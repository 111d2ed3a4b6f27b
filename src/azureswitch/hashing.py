"""Rendezvous hashing: every host picks the same hosts for a name without asking anyone."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from azureswitch.core import HostName


def ranked(*, name: str, hosts: Iterable[HostName]) -> tuple[HostName, ...]:
    """Order hosts by their hash together with a name.

    A host that leaves or joins changes the order of no other two, so that only its own share of
    the names moves.

    Args:
        name: What is to be placed, such as an engine.
        hosts: The hosts to choose from.

    Returns:
        The hosts, the first choice first.
    """
    return tuple(
        sorted(hosts, key=lambda host: (-xxh3_64_intdigest(f"{name}\0{host}".encode()), host))
    )
