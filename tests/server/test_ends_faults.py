"""A fault in what is told of the end of a connection does not keep its request under way."""

import asyncio
from dataclasses import dataclass, field

from azureswitch.server import ConnectionClosed, HttpServer
from tests.server.fixtures import Bed, Script, never, request, run
from tests.server.test_losses import TRAVEL_SECONDS
from tests.waiting import reach


@dataclass(slots=True, kw_only=True)
class Failing:
    """Fails when it is told of the end of a connection.

    Attributes:
        told: The ends that it was told of.
    """

    told: list[ConnectionClosed] = field(default_factory=list)

    def __call__(self, closed: ConnectionClosed) -> None:
        """Fail."""
        self.told.append(closed)
        raise OSError


class TestFaultAtTheEnd:
    """A fault in what is told of a connection's end."""

    def test_request_is_let_go(self) -> None:
        """The request under way is let go of though the end could not be told."""

        async def scenario() -> None:
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            script, failing = Script(acts={"/1": never}), Failing()
            server = HttpServer(handler=script, closed=failing)
            await server.start(address="127.0.0.1:0")
            bed = Bed(server=server, script=script)
            caller = await bed.connect()
            caller.send(request("/1"))
            await reach(lambda: bool(script.handled))
            caller.writer.close()
            await reach(lambda: bool(failing.told))
            await asyncio.sleep(TRAVEL_SECONDS)
            server.stop_listening()
            assert script.left == ["/1"]

        run(scenario)
