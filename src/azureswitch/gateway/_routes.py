"""Finds the route of a request."""

from collections.abc import Iterable
from random import Random

from azureswitch.core import ServiceName
from azureswitch.gateway._model import Route


class Routes:
    """The routes of a configuration, by host and then the longest prefix.

    Args:
        routes: The routes.
    """

    def __init__(self, *, routes: Iterable[Route]) -> None:
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route

    def find(self, *, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None.

        Every prefix begins and ends with a slash, so only the prefixes of the path are looked up,
        longest first; the cost does not depend on the number of routes.

        Args:
            host: The value of ``Host``.
            target: Path and query.
        """
        prefixes = self._hosts.get(host.lower())
        if not prefixes:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/") + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None


def pick_service(route: Route, *, random: Random) -> ServiceName:
    """Pick a service at random, weighted by the route's shares."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return random.choices(route.shares, weights=weights)[0].service
