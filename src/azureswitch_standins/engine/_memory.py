"""The KV memory of an engine: cached prefixes, holdings and running attempts."""

from azureswitch.ports import Holding
from azureswitch_standins.engine._cache import PrefixCache
from azureswitch_standins.engine._errors import MemoryFullError
from azureswitch_standins.engine._kv import Holdings
from azureswitch_standins.engine._prompt import BLOCK_TOKENS
from azureswitch_standins.engine._settings import EngineSettings
from azureswitch_standins.engine._work import AttemptWork

_MEMORY_RETRY = 1.0
"""Seconds after which memory that is full now may be asked for again."""


class Memory:
    """Allocates KV tokens; cached prefixes that nothing uses are evicted as needed."""

    def __init__(self, *, settings: EngineSettings, started: int) -> None:
        self._total = settings.memory
        self._cache = PrefixCache(
            lag=settings.cache_lag, gap=settings.cache_gap, seed=settings.seed + started
        )
        self._holdings = Holdings()
        self._private = 0

    @property
    def cache(self) -> PrefixCache:
        """Cached prefixes."""
        return self._cache

    @property
    def holdings(self) -> Holdings:
        """Memory held outside running requests."""
        return self._holdings

    @property
    def used(self) -> int:
        """KV tokens in use by attempts and holdings."""
        return self._holdings.tokens + self._private + self._cache.pinned_tokens

    def hold(self, holding: Holding, now: float) -> None:
        """Allocate the memory of a holding.

        Raises:
            MemoryFullError: There is not as much free.
        """
        if not self._make_room(holding.tokens, now):
            raise MemoryFullError(retry_after=_MEMORY_RETRY)
        self._holdings.add(holding)

    def allocate(self, attempt: AttemptWork, now: float) -> bool:
        """Allocate memory for an attempt; return whether there was enough."""
        prompt = attempt.request.prompt
        hits = self._cache.matched(prompt.blocks)
        if hits * BLOCK_TOKENS >= prompt.tokens:
            hits -= 1
        found = prompt.blocks[:hits]
        self._cache.pin(found, now=now)
        need = prompt.tokens + attempt.request.max_tokens - hits * BLOCK_TOKENS
        if not self._make_room(need, now):
            self._cache.unpin(found)
            return False
        attempt.hits = hits
        attempt.cached = hits * BLOCK_TOKENS
        attempt.pinned = found
        attempt.private = need
        self._private += need
        return True

    def cache_prompt(self, attempt: AttemptWork, now: float) -> None:
        """Cache the blocks that an attempt has prefilled."""
        rest = attempt.request.prompt.blocks[attempt.hits :]
        self._cache.pin(rest, now=now)
        attempt.pinned += rest
        self._private -= len(rest) * BLOCK_TOKENS
        attempt.private -= len(rest) * BLOCK_TOKENS

    def free(self, attempt: AttemptWork) -> None:
        """Free the memory of an attempt; its prefix stays cached until it is evicted."""
        self._cache.unpin(attempt.pinned)
        self._private -= attempt.private

    def _make_room(self, tokens: int, now: float) -> bool:
        room = self._total - self.used
        if tokens > room:
            return False
        self._cache.evict(tokens - (room - self._cache.free_tokens), now=now)
        return True
