"""A stream through the tunnel of a host that is silent for 2 s and goes on."""

import asyncio

from tests.gateway.fixtures import whole_stream
from tests.paths.fixtures import run
from tests.paths.test_ends_tunnels import PAUSE_SECONDS, begin, silence
from tests.paths.test_gateways import EVENTS, pair


class TestLongSilence:
    """No other way to a target is certain while the only carrier is silent."""

    def test_resumable(self) -> None:
        """A stream that may be resumed is not given up for it: its caller gets the whole."""

        async def scenario() -> None:
            async with pair() as hosts:
                asking = await begin(hosts, "/ask/")
                await asyncio.sleep(2.0 * PAUSE_SECONDS)
                async with silence(hosts):
                    await asyncio.sleep(2.0)
                assert (await asking).body == whole_stream(EVENTS)

        run(scenario)
