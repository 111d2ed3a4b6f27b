"""Engine memory that is held outside running requests."""

from msgspec import Struct
from msgspec.structs import replace

from azureswitch.core import CallId
from azureswitch.ports import Holding, HoldingKind
from azureswitch_standins.engine._errors import HoldingError
from azureswitch_standins.engine._recent import RecentSet

_RELEASED_LIMIT = 4_096
"""Ids of released holdings that are remembered, so that a late repeat does not hold again."""


class Span(Struct, frozen=True, kw_only=True):
    """Prompt tokens ``[start, end)`` whose KV lies in a holding.

    Attributes:
        start: The first token.
        end: The token after the last.
        remote: Whether the KV lies at another engine.
    """

    start: int
    end: int
    remote: bool = False


class Holdings:
    """Reservations, exports and imports of one engine."""

    def __init__(self) -> None:
        self._held: dict[str, Holding] = {}
        self._spans: dict[str, Span] = {}
        self._released: RecentSet[str] = RecentSet(limit=_RELEASED_LIMIT)
        self._tokens = 0

    @property
    def tokens(self) -> int:
        """KV tokens held."""
        return self._tokens

    @property
    def all(self) -> tuple[Holding, ...]:
        """All holdings."""
        return tuple(self._held.values())

    def known(self, holding: Holding) -> bool:
        """Return whether the same holding is there already.

        Raises:
            HoldingError: Its id was released, or is that of another holding.
        """
        if holding.id in self._released:
            raise HoldingError(detail="the holding was released")
        found = self._held.get(holding.id)
        if found is None:
            return False
        if replace(found, kind=holding.kind) != holding:
            raise HoldingError(detail="the id belongs to another holding")
        return True

    def add(self, holding: Holding) -> None:
        """Hold memory that the caller has checked to be free."""
        self._held[holding.id] = holding
        self._tokens += holding.tokens

    def reservation(self, holding: Holding) -> Holding:
        """Return a holding that is reserved, or exported already.

        Raises:
            HoldingError: It is not there.
        """
        if not self.known(holding):
            raise HoldingError(detail="the holding is not there")
        return self._held[holding.id]

    def fill(self, holding: str, span: Span) -> None:
        """Note which span a holding has the KV of."""
        if holding in self._held:
            self._spans[holding] = span

    def export(self, holding: Holding) -> Span:
        """Make a filled holding readable for others and return its span.

        Raises:
            HoldingError: It is not there or has no KV yet.
        """
        found = self.reservation(holding)
        span = self._spans.get(found.id)
        if span is None:
            raise HoldingError(detail="the holding is not prefilled")
        self._held[found.id] = replace(found, kind=HoldingKind.EXPORT)
        return span

    def exported(self, holding: str) -> Span:
        """Return the span of an export.

        Raises:
            HoldingError: There is no such export.
        """
        found = self._held.get(holding)
        if found is None or found.kind is not HoldingKind.EXPORT:
            raise HoldingError(detail="there is no such export")
        return self._spans[holding]

    def release(self, holding: str) -> None:
        """Free a holding; harmless when it is not there."""
        found = self._held.pop(holding, None)
        if found is not None:
            self._tokens -= found.tokens
        self._spans.pop(holding, None)
        self._released.add(holding)

    def reserved(self, call: CallId, attempt: int) -> Holding | None:
        """Return the unfilled reservation that an attempt may run in."""
        for holding in self._held.values():
            if (
                (holding.call, holding.attempt) == (call, attempt)
                and holding.kind is HoldingKind.RESERVATION
                and holding.id not in self._spans
            ):
                return holding
        return None

    def covered(self, call: CallId, attempt: int) -> tuple[int, int]:
        """Return up to which prompt token an attempt has imports, and how many are remote."""
        spans = sorted(
            (
                self._spans[holding.id]
                for holding in self._held.values()
                if (holding.call, holding.attempt) == (call, attempt)
                and holding.kind is HoldingKind.IMPORT
                and holding.id in self._spans
            ),
            key=lambda span: span.start,
        )
        end = remote = 0
        for span in spans:
            if span.start > end:
                break
            end = max(end, span.end)
            remote += span.remote
        return end, remote
