"""Where in the store's history something stands: one number that orders what is known of it.

A store that comes back from an older copy gives revisions out again.  It counts how often it did,
which is its era.  Both make up a version, so that what was told before a restoration is older than
all that is told after it, and no version is ever given out twice.
"""

REVISION_BITS = 52
"""Bits of a version that hold the revision, which may be a time in microseconds."""

REVISION_MOST = (1 << REVISION_BITS) - 1

ERA_MOST = (1 << 11) - 1
"""The latest era whose versions fit into a message between hosts."""


def version_of(*, era: int, revision: int) -> int:
    """Return the version of a revision; in the first era it is the revision itself."""
    if not era:
        return revision
    return (era << REVISION_BITS) + min(revision, REVISION_MOST)


def era_of(version: int) -> int:
    """Return how often the store had come back from a copy as it gave a version."""
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Return the revision that the store itself knows."""
    return version & REVISION_MOST
