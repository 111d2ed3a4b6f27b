"""Claims of a fleet under the faults that they are made for."""

import asyncio

from azureswitch.coordination.claims import Granted, Replayed
from azureswitch_standins.clock import run_virtual
from tests.claims.fleet import Fleet


class TestClaims:
    """The facade over several hosts."""

    def test_first_runs_and_repeats_replay(self):
        """The first call is granted, repeats at every host get its answer."""

        async def main():
            fleet = Fleet()
            first = await fleet.hosts[0].serve("k")
            await asyncio.sleep(3)
            again = [await host.serve("k") for host in fleet.hosts]
            return first, again, fleet.sent["k"]

        first, again, sent = run_virtual(main())
        assert isinstance(first, Granted)
        assert all(isinstance(result, Replayed) and result.body == b"booked" for result in again)
        assert sent == 1
