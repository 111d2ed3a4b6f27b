"""Model check of stops among three hosts of one failure domain."""

from models.stopping_search import TRIO, search_stops


class TestStops:
    """Hosts stop and restart at any second, behind a load balancer that lags."""

    def test_promises(self) -> None:
        """No interleaving violates a property, and the search is complete."""
        found = search_stops(TRIO)
        assert (found.promise, found.trace) == ("", ())
        assert found.complete
