"""The steps of a stop among three hosts of one failure domain, in every order that is tried."""

from models.stopping_search import TRIO, search_stops


class TestStops:
    """Hosts are stopped and started again at any second, beside a balancer that lags."""

    def test_promises(self) -> None:
        """No order breaks a promise, and none was left out."""
        found = search_stops(TRIO)
        assert (found.promise, found.trace) == ("", ())
        assert found.complete
