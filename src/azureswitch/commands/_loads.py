"""The engines' own load reports."""

from asyncio import Semaphore, gather, timeout
from collections.abc import Callable, Iterable

from msgspec import Struct

from azureswitch.exceptions import TargetError
from azureswitch.inventory import Target, TargetRole
from azureswitch.ports import Engine, LoadReport

LOAD_TIMEOUT = 2.0
"""Seconds that an engine may take to answer."""

ASKED_AT_ONCE = 32
"""Engines that are asked at the same time."""

EngineFactory = Callable[[Target], Engine]


class EngineLoad(Struct, frozen=True, kw_only=True):
    """An engine and what it says of its load.

    Attributes:
        target: Its entry in the inventory.
        report: Its report, or None where it did not answer.
    """

    target: Target
    report: LoadReport | None

    @property
    def missing(self) -> bool:
        """Whether it should serve and did not answer."""
        return self.report is None and self.target.role is TargetRole.SERVING


async def read_loads(targets: Iterable[Target], engine: EngineFactory) -> tuple[EngineLoad, ...]:
    """Ask engines for their load, a bounded number at a time.

    Args:
        targets: The targets; those without models are passed over.
        engine: Makes the port of an engine.

    Returns:
        The engines in the order given.
    """
    slots = Semaphore(ASKED_AT_ONCE)

    async def read(target: Target) -> EngineLoad:
        async with slots:
            return EngineLoad(target=target, report=await _read(engine(target)))

    return tuple(await gather(*(read(target) for target in targets if target.models)))


async def _read(engine: Engine) -> LoadReport | None:
    try:
        async with timeout(LOAD_TIMEOUT):
            return await engine.load()
    except (TargetError, TimeoutError):
        return None
