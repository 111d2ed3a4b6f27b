"""Tests of the metrics and status pages."""

import asyncio
from collections.abc import Iterable
from http import HTTPStatus

import pytest
from msgspec import json

from azureswitch.client import HttpAnswer, HttpClient
from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import HostName, Incarnation, PlaceName, ServiceName, TargetName
from azureswitch.inventory import Target, TargetRole
from azureswitch.status import ForeignCollection, ForeignEntry, HostStatus, TargetStatus
from tests.gateway.fixtures import PATIENCE, Bed, serve

SOME = ForeignCollection(
    collection="servers",
    total=3,
    unnamed=1,
    entries=(ForeignEntry(name="j-1", version=7, fault="address", detail="none"),),
)

SELF = Member(
    incarnation=Incarnation(host=HostName("h1"), started=5),
    place=PlaceName("p1"),
    address="127.0.0.1:9",
    status=MemberStatus.ALIVE,
)


async def read(bed: Bed, path: str) -> HttpAnswer:
    """Fetch a page."""
    client = HttpClient(address=bed.gateway.pages_address)
    try:
        return await client.request(method="GET", path=path, timeout=PATIENCE)
    finally:
        client.close()


def target(name: str, started: int, role: TargetRole = TargetRole.SERVING) -> Target:
    """Return the list entry of a target."""
    return Target(
        name=TargetName(name),
        service=ServiceName("plain"),
        place=PlaceName("p1"),
        address="127.0.0.1:1",
        role=role,
        started=started,
    )


class TestPaths:
    """Paths of the pages."""

    @pytest.mark.parametrize(
        ("path", "status", "type"),
        [
            ("/metrics", HTTPStatus.OK, "text/plain"),
            ("/metrics?a=b", HTTPStatus.OK, "text/plain"),
            ("/status", HTTPStatus.OK, "application/json"),
            ("/status?a=b", HTTPStatus.OK, "application/json"),
            ("/", HTTPStatus.NOT_FOUND, ""),
            ("/statuses", HTTPStatus.NOT_FOUND, ""),
        ],
    )
    def test_path(self, path: str, status: HTTPStatus, type: str) -> None:
        """Each page is served at its exact path only."""

        async def scenario() -> None:
            async with serve() as bed:
                answer = await read(bed, path)
                assert answer.head.status == status
                if type:
                    assert (answer.head.header(name="content-type") or "").startswith(type)

        asyncio.run(scenario())


class TestStatus:
    """The page ``/status``."""

    @pytest.mark.parametrize(
        ("lists", "shown"),
        [
            ([[]], []),
            ([[target("i-1", 0)]], [("i-1", "serving", 0)]),
            ([[target("i-1", 1_000)]], [("i-1", "serving", 1_000)]),
            ([[target("i-1", 1_000)], [target("i-1", 2_000)]], [("i-1", "serving", 2_000)]),
            ([[target("i-1", 2_000)], [target("i-1", 1_000)]], [("i-1", "serving", 2_000)]),
            (
                [[target("i-2", 2, TargetRole.DRAINING), target("i-1", 1)]],
                [("i-1", "serving", 1), ("i-2", "draining", 2)],
            ),
            ([[target("i-1", 1)], [target("i-2", 1)]], [("i-2", "serving", 1)]),
        ],
    )
    def test_targets(
        self, lists: Iterable[Iterable[Target]], shown: list[tuple[str, str, int]]
    ) -> None:
        """Each listed target is reported with its place, state and latest start."""

        async def scenario() -> None:
            async with serve() as bed:
                for targets in lists:
                    bed.gateway.set_targets(tuple(targets))
                report = json.decode((await read(bed, "/status")).body, type=HostStatus)
                assert report.targets == tuple(
                    TargetStatus(name=name, place="p1", state=state, started=started)
                    for name, state, started in shown
                )

        asyncio.run(scenario())

    @pytest.mark.parametrize("foreign", [(), (SOME,)])
    @pytest.mark.parametrize("members", [(), (SELF,)])
    def test_surroundings(
        self, foreign: tuple[ForeignCollection, ...], members: tuple[Member, ...]
    ) -> None:
        """The page reports its host, the known hosts and the foreign entries."""

        async def scenario() -> None:
            async with serve(members=lambda: members, foreign=lambda: foreign) as bed:
                report = json.decode((await read(bed, "/status")).body, type=HostStatus)
                assert (report.host, report.place, report.leaving) == ("h1", "p1", False)
                assert [member.host for member in report.members] == ["h1"] * len(members)
                assert report.foreign == foreign

        asyncio.run(scenario())
