"""The engine's prefix cache and its events."""

from collections import OrderedDict, deque
from collections.abc import Iterable
from random import Random

from azureswitch_standins.engine._prompt import BLOCK_TOKENS

_LOG_LIMIT = 8_192
"""Upper bound of recorded events; requests for older ones are reported as incomplete."""


class PrefixCache:
    """Blocks of prompts, which are pinned by running requests or can be evicted."""

    def __init__(self, *, lag: float, gap: float, seed: int) -> None:
        self._pins: dict[int, int] = {}
        self._free: OrderedDict[int, None] = OrderedDict()
        self._lag = lag
        self._gap = gap
        self._random = Random(seed)
        self._log: deque[tuple[float, int, bool, int]] = deque(maxlen=_LOG_LIMIT)
        self._sequence = 0

    @property
    def pinned_tokens(self) -> int:
        """Tokens in blocks that are pinned by running requests."""
        return len(self._pins) * BLOCK_TOKENS

    @property
    def free_tokens(self) -> int:
        """Tokens that can be evicted."""
        return len(self._free) * BLOCK_TOKENS

    def matched(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are cached."""
        count = 0
        for block in blocks:
            if block not in self._pins and block not in self._free:
                break
            count += 1
        return count

    def pin(self, blocks: Iterable[int], *, now: float) -> int:
        """Pin blocks; return how many of them were not cached before."""
        added = 0
        for block in blocks:
            if block in self._pins:
                self._pins[block] += 1
                continue
            if block in self._free:
                del self._free[block]
            else:
                added += 1
                self._record(now, added=True, block=block)
            self._pins[block] = 1
        return added

    def unpin(self, blocks: tuple[int, ...]) -> None:
        """Unpin blocks; the last block of a prefix is evicted before those that it depends on."""
        for block in reversed(blocks):
            pins = self._pins[block] - 1
            if pins:
                self._pins[block] = pins
                continue
            del self._pins[block]
            self._free[block] = None

    def evict(self, tokens: int, *, now: float) -> None:
        """Evict the least recently used blocks until that many tokens are free."""
        while tokens > 0 and self._free:
            block, _ = self._free.popitem(last=False)
            self._record(now, added=False, block=block)
            tokens -= BLOCK_TOKENS

    def events(
        self, *, after: int, now: float
    ) -> tuple[int, bool, tuple[int, ...], tuple[int, ...]]:
        """Return the last sequence number, completeness, blocks added and blocks removed.

        A block that was added and removed, or the reverse, is reported as its later event only.
        """
        if after >= self._sequence:
            return after, True, (), ()
        visible = []
        for at, sequence, added, block in reversed(self._log):
            if sequence <= after:
                break
            if at + self._lag <= now:
                visible.append((sequence, added, block))
        if not visible:
            return after, True, (), ()
        visible.reverse()
        last = visible[-1][0]
        changes = {block: added for _, added, block in visible}
        gained = tuple(block for block, added in changes.items() if added)
        lost = tuple(block for block, added in changes.items() if not added)
        return last, len(visible) == last - after, gained, lost

    def _record(self, now: float, *, added: bool, block: int) -> None:
        self._sequence += 1
        if self._random.random() >= self._gap:
            self._log.append((now, self._sequence, added, block))
