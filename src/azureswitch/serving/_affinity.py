"""Which engines are believed to hold which prefixes, from cache events and own sends."""

from collections import OrderedDict

from azureswitch.core import TargetName
from azureswitch.ports import CacheEvents

BLOCKS_PER_ENGINE = 4_096
"""Prefix blocks that are remembered per engine; the least recently used are forgotten."""

BLOCK_TOKENS = 512
"""Prompt tokens that one prefix hash adds."""


class PrefixIndex:
    """A bounded map from prefix hash to engines.

    Hashes are salted per customer before they arrive here, so that two customers never share an
    entry and neither can learn of the other's prompts by timing.
    """

    def __init__(self) -> None:
        self._engines: dict[int, set[TargetName]] = {}
        self._blocks: dict[TargetName, OrderedDict[int, None]] = {}
        self._starts: dict[TargetName, int] = {}

    def apply(self, events: CacheEvents) -> None:
        """Take over cache events; a restart forgets everything.

        After a gap the rest is kept: what was evicted unseen only makes one prompt dearer than
        expected, and falls out as the least recently used.
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
        """Expect that an engine will have a prefix, since a request with it was sent there."""
        for block in prefix:
            self._add(target, block)

    def forget(self, target: TargetName) -> None:
        """Forget everything about an engine."""
        for block in tuple(self._blocks.get(target, ())):
            self._remove(target, block)

    def restart(self, target: TargetName) -> None:
        """Forget an engine that has started again, and what is still told of its earlier start."""
        self.forget(target)
        if target in self._starts:
            # Events of the start that is over come late; those of any later one are taken over.
            self._starts[target] += 1

    def cached(self, prefix: tuple[int, ...]) -> dict[TargetName, int]:
        """Return, for each engine that holds a leading part, how many tokens it holds."""
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
