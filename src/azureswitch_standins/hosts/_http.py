"""The host list over HTTP and JSON."""

from collections.abc import Iterable
from http import HTTPStatus

import msgspec
from blacksheep import Content, Request, Response

from azureswitch.exceptions import HostListError
from azureswitch.platform import HOSTS_PATH, WireHosts
from azureswitch.ports import ListedHost
from azureswitch_standins._web import WebServer, application, route_value
from azureswitch_standins.hosts._fake import DEFAULT_LAG, HostListFake


class HostListStandin:
    """The host list as an HTTP server."""

    def __init__(
        self,
        *,
        hosts: Iterable[ListedHost] = (),
        lag: float = DEFAULT_LAG,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self._list = HostListFake(hosts=hosts, lag=lag)
        app = application(
            routes={
                ("GET", HOSTS_PATH): self._get,
                ("POST", "/standin/hosts"): self._put,
                ("DELETE", "/standin/hosts/:name"): self._remove,
            }
        )
        self._server = WebServer(app=app, host=host, port=port)

    @property
    def address(self) -> str:
        """``IP:PORT``, known once it has started."""
        return self._server.address

    @property
    def list(self) -> HostListFake:
        """The list behind, to change it and to take it down."""
        return self._list

    async def start(self) -> None:
        """Listen and serve."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop, breaking what still runs."""
        await self._server.stop()

    async def _get(self, request: Request) -> Response:
        try:
            hosts = await self._list.hosts()
        except HostListError:
            return Response(HTTPStatus.SERVICE_UNAVAILABLE)
        return _json(WireHosts(items=hosts))

    async def _put(self, request: Request) -> Response:
        self._list.put(host=msgspec.json.decode(await request.read() or b"", type=ListedHost))
        return _json(WireHosts(items=self._list.truth))

    async def _remove(self, request: Request) -> Response:
        self._list.remove(name=route_value(request=request, name="name"))
        return _json(WireHosts(items=self._list.truth))


def _json(body: object) -> Response:
    return Response(HTTPStatus.OK, None, Content(b"application/json", msgspec.json.encode(body)))
