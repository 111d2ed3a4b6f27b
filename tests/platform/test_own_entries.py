"""A host writes its own entries again where the store came back from a copy without them."""

from azureswitch.core import HostName, PlaceName
from azureswitch.metrics import Metrics
from azureswitch.platform._foreign import ForeignTracker
from azureswitch.platform._roster import ROSTER_KIND, Seat, StoreHostList
from tests.platform.test_restored import run, serve_store


class TestHostList:
    """This host's own entry."""

    def test_entered_again(self) -> None:
        """It is written again where the copy lacks it, and once."""

        async def scenario() -> None:
            async with serve_store() as (standin, store):
                empty = standin.store.model.copy()
                hosts = StoreHostList(
                    store=store,
                    host=HostName("h1"),
                    seat=Seat(place=PlaceName("z1"), address="127.0.0.1:7000"),
                    foreign=ForeignTracker(
                        metrics=Metrics(), kinds=(ROSTER_KIND,), clock=lambda: 0.0
                    ),
                )
                assert [host.name for host in await hosts.hosts()] == ["h1"]
                standin.restore(empty)
                await hosts.hosts()
                assert [host.name for host in await hosts.hosts()] == ["h1"]
                before = standin.counters.writes
                await hosts.hosts()
                assert standin.counters.writes == before

        run(scenario)
