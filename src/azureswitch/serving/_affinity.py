"""Index of the prefixes in each engine's cache, built from cache events and requests sent."""

from collections import OrderedDict

from azureswitch.core import TargetName
from azureswitch.ports import CacheEvents

BLOCKS_PER_ENGINE = 4_096
"""Maximum prefix blocks in the index per engine; the least recently used is evicted."""

BLOCK_TOKENS = 512
"""Prompt tokens covered by each further prefix hash."""


class PrefixIndex:
    """A bounded map from prefix hash to engines.

    The hashes are already salted per customer, so that customers never share an entry and none can
    infer another's prompts from timing.
    """

    def __init__(self) -> None:
        self._engines: dict[int, set[TargetName]] = {}
        self._blocks: dict[TargetName, OrderedDict[int, None]] = {}
        self._starts: dict[TargetName, int] = {}

    def apply(self, events: CacheEvents) -> None:
        """Apply cache events; a restart of the engine clears its entries.

        Entries are kept after a gap in the events: a block whose eviction was missed only makes
        one prompt more expensive than predicted, and is evicted here as least recently used.
        """
        known = self._starts.get(events.target)
        if known is not None and known > events.started:
            return
        if known != events.started:
            self.forget(events.target)
            self._starts[events.target] = events.started
        for block in events.removed:
            self._remove(events.target, block)
        for block in events.added:
            self._add(events.target, block)

    def record_sent(self, target: TargetName, prefix: tuple[int, ...]) -> None:
        """Add a prefix to an engine's entries, since a request with it was sent there."""
        for block in prefix:
            self._add(target, block)

    def forget(self, target: TargetName) -> None:
        """Remove all entries of an engine."""
        for block in tuple(self._blocks.get(target, ())):
            self._remove(target, block)

    def restart(self, target: TargetName) -> None:
        """Remove the entries of a restarted engine and ignore late events of its previous start."""
        self.forget(target)
        if target in self._starts:
            # Late events of the previous start are ignored; those of any later start are applied.
            self._starts[target] += 1

    def cached(self, prefix: tuple[int, ...]) -> dict[TargetName, int]:
        """Return the number of cached tokens for each engine that holds a leading part."""
        found: dict[TargetName, int] = {}
        for count in range(len(prefix), 0, -1):
            for target in self._engines.get(prefix[count - 1], ()):
                found.setdefault(target, count * BLOCK_TOKENS)
        return found

    def _add(self, target: TargetName, block: int) -> None:
        blocks = self._blocks.setdefault(target, OrderedDict())
        blocks[block] = None
        blocks.move_to_end(block)
        self._engines.setdefault(block, set()).add(target)
        if len(blocks) > BLOCKS_PER_ENGINE:
            self._remove(target, next(iter(blocks)))

    def _remove(self, target: TargetName, block: int) -> None:
        self._blocks.get(target, OrderedDict()).pop(block, None)
        engines = self._engines.get(block)
        if engines is None:
            return
        engines.discard(target)
        if not engines:
            del self._engines[block]
