"""Tests until when a host counts a target as cold, by source and by age of what it was told."""

from math import inf

import pytest
from msgspec import Struct

from azureswitch.core import PlaceName, ServiceName, TargetName
from azureswitch.inventory import Evacuation, Place, Target, Warmup
from azureswitch.serving.warmup import EvidenceSource, WarmthTracker

SERVICE = ServiceName("llm")
NAME = TargetName("e0")
PLACE = PlaceName("p1")
SECONDS = 3.0
WARMUPS = {SERVICE: Warmup(seconds=SECONDS, rate=17.0)}


class Listing(Struct, frozen=True, kw_only=True):
    """A listing of one target.

    Attributes:
        at: When it is read.
        cold: The seconds that the target's entry names, or None.
        version: The version of the entry.
        started: The start in the entry.
        evacuated: Whether the target's failure domain is evacuated.
        listed: Whether the target is listed.
    """

    at: float
    cold: float | None = None
    version: int = 1
    started: int = 1
    evacuated: bool = False
    listed: bool = True


OTHER = Target(
    name=TargetName("other"), service=SERVICE, place=PlaceName("p2"), address="127.0.0.1:2"
)


def track(listings: list[Listing]) -> WarmthTracker:
    """Return a tracker after listings."""
    tracker = WarmthTracker()
    for item in listings:
        target = Target(
            name=NAME,
            service=SERVICE,
            place=PLACE,
            address="127.0.0.1:1",
            started=item.started,
            cold=item.cold,
            entry_version=item.version,
        )
        away = Evacuation(since=1) if item.evacuated else None
        tracker.adopt(
            [OTHER, *([target] if item.listed else [])],
            warmups=WARMUPS,
            places=[Place(name=PLACE, region="r", evacuation=away)],
            now=item.at,
        )
    return tracker


FIRST = Listing(at=10.0, cold=0.0)
EMPTY = Listing(at=10.0, listed=False)
AWAY = Listing(at=20.0, cold=0.0, evacuated=True)
BACK = Listing(at=30.0, cold=0.0)


class TestUntil:
    """Each row is the last of some listings, and until when the target is cold after it."""

    @pytest.mark.parametrize(
        ("listings", "until"),
        [
            pytest.param([Listing(at=10.0)], -inf, id="first listing, not said"),
            pytest.param([FIRST], -inf, id="first listing, warm"),
            pytest.param([Listing(at=10.0, cold=2.0)], 12.0, id="first listing, cold"),
            pytest.param([EMPTY, Listing(at=20.0)], 23.0, id="appears, not said"),
            pytest.param([EMPTY, Listing(at=20.0, cold=1.0)], 21.0, id="appears, cold"),
            pytest.param([EMPTY, Listing(at=20.0, cold=0.0)], -inf, id="appears, warm"),
            pytest.param([FIRST, Listing(at=20.0, started=2, version=2)], 23.0, id="new start"),
            pytest.param(
                [FIRST, Listing(at=20.0, started=2, cold=2.5, version=2)], 22.5, id="start, cold"
            ),
            pytest.param(
                [Listing(at=10.0, cold=2.0, started=0), Listing(at=11.0, cold=2.0)],
                12.0,
                id="start learned",
            ),
            pytest.param([FIRST, Listing(at=20.0, cold=3.0, version=2)], 23.0, id="cold again"),
            pytest.param(
                [Listing(at=10.0, cold=3.0), Listing(at=11.0, cold=3.0)], 13.0, id="same entry"
            ),
            pytest.param(
                [Listing(at=10.0, cold=3.0), Listing(at=11.0, cold=1.5, version=2)],
                12.5,
                id="later entry",
            ),
            pytest.param(
                [Listing(at=10.0, cold=3.0), Listing(at=11.0, cold=0.0, version=2)],
                11.0,
                id="warm early",
            ),
            pytest.param(
                [Listing(at=10.0, cold=3.0), Listing(at=19.0, cold=0.0, version=2)],
                13.0,
                id="warm since",
            ),
            pytest.param(
                [Listing(at=10.0, cold=3.0, version=5), Listing(at=11.0, cold=0.0, version=2)],
                13.0,
                id="earlier entry, warm",
            ),
            pytest.param(
                [Listing(at=10.0, cold=0.0, version=5), Listing(at=11.0, cold=3.0, version=2)],
                14.0,
                id="earlier entry, cold",
            ),
            pytest.param(
                [Listing(at=10.0, cold=3.0, started=2), Listing(at=11.0, cold=0.0, version=9)],
                13.0,
                id="earlier start",
            ),
            pytest.param(
                [Listing(at=10.0, cold=3.0), Listing(at=11.0, version=2)], 13.0, id="says no more"
            ),
            pytest.param(
                [Listing(at=10.0, cold=3.0), EMPTY, Listing(at=11.0, cold=3.0)],
                13.0,
                id="missing for a while",
            ),
            pytest.param([FIRST, AWAY], -inf, id="evacuated"),
            pytest.param([FIRST, AWAY, BACK], 33.0, id="restored"),
            pytest.param(
                [FIRST, AWAY, BACK, Listing(at=30.5, cold=0.0, version=2)],
                33.0,
                id="entry from before the end",
            ),
            pytest.param(
                [FIRST, AWAY, BACK, Listing(at=31.0, cold=0.0, version=2)],
                31.0,
                id="entry from after the end",
            ),
            pytest.param(
                [FIRST, AWAY, Listing(at=30.0, cold=5.0, version=2)], 35.0, id="cold for longer"
            ),
            pytest.param(
                [FIRST, AWAY, BACK, Listing(at=31.0, cold=0.0, evacuated=True), Listing(at=32.0)],
                35.0,
                id="evacuated again while cold",
            ),
        ],
    )
    def test_until(self, listings: list[Listing], until: float) -> None:
        """A later report replaces an earlier one; where neither is later, cold wins."""
        known = track(listings).get(NAME)
        assert known is not None
        assert known.until == until

    def test_place_missing_from_a_listing(self) -> None:
        """A failure domain that is not listed for a while has not been restored by that."""
        tracker = track([FIRST, AWAY])
        tracker.adopt([OTHER], warmups=WARMUPS, places=[], now=25.0)
        tracker.adopt([OTHER], warmups=WARMUPS, places=[Place(name=PLACE, region="r")], now=26.0)
        assert tracker.get(OTHER.name).until == -inf  # type: ignore[union-attr]

    @pytest.mark.parametrize(
        ("listings", "source"),
        [
            ([Listing(at=10.0, cold=2.0)], EvidenceSource.ENTRY),
            ([EMPTY, Listing(at=20.0)], EvidenceSource.START),
            ([FIRST, AWAY, BACK], EvidenceSource.RESTORED),
        ],
    )
    def test_source_and_age(self, listings: list[Listing], source: EvidenceSource) -> None:
        """What is known has a source and the time at which it was learned."""
        known = track(listings).get(NAME)
        assert known is not None
        assert (known.source, known.at) == (source, listings[-1].at)
