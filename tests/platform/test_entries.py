"""Reading store entries that other programs wrote."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from time import process_time

import pytest

from azureswitch.exceptions import StoreUnavailableError
from azureswitch.platform import HttpStore
from azureswitch.platform._deployment import MAX_ENTRY_BYTES, entry_limit
from azureswitch.platform._entries import OVERSIZED, Changes, Page, read_changes, read_listing
from azureswitch.ports import ChangeKind, StoreChange
from azureswitch.slices import Steps, finish
from azureswitch_standins.store import StoreStandin
from tests.platform.foreign import UNREADABLE, entry, spec
from tests.waiting import PATIENCE

KIND = "servers"


@asynccontextmanager
async def serve(*, page: int = 500) -> AsyncIterator[tuple[StoreStandin, HttpStore]]:
    """Serve a store that holds ``i-1`` and yield it with a client."""
    standin = StoreStandin(page=page)
    await standin.start()
    store = HttpStore(address=standin.address, timeout=PATIENCE)
    await store.create(kind=KIND, name="i-1", value=spec())
    try:
        yield standin, store
    finally:
        store.close()
        await standin.stop()


@pytest.mark.parametrize(
    ("foreign", "named"), [pytest.param(*row, id=name) for name, row in UNREADABLE.items()]
)
class TestUnreadable:
    """Entries that do not match the schema of the store's objects."""

    @pytest.mark.parametrize("page", [500, 2, 1])
    def test_listing(self, foreign: bytes, named: bool, page: int) -> None:
        """All other entries are listed; a listing fails if a page has no name to continue after."""

        async def run() -> None:
            async with serve(page=page) as (standin, store):
                standin.plant(kind=KIND, name="i-2", entry=foreign)
                await store.create(kind=KIND, name="i-3", value=spec())
                if page == 1 and not named:
                    # The next page is requested by the last name, which is missing here.
                    with pytest.raises(StoreUnavailableError):
                        await store.list(kind=KIND)
                    return
                listing = await store.list(kind=KIND)
                names = ["i-1", "i-2", "i-3"] if named else ["i-1", "i-3"]
                assert [item.name for item in listing.items] == names
                assert [item.value for item in listing.items if item.name != "i-2"] == [spec()] * 2
                assert listing.version == 3

        asyncio.run(run())

    def test_watch(self, foreign: bytes, named: bool) -> None:
        """The watch continues, and a named invalid entry replaces its previous state."""

        async def run() -> None:
            async with serve() as (standin, store):
                await store.create(kind=KIND, name="i-2", value=spec())
                standin.plant(kind=KIND, name="i-2", entry=foreign)
                await store.create(kind=KIND, name="i-3", value=spec())
                watch = store.watch(kind=KIND, version=2, timeout=9.0)
                seen: list[StoreChange] = []
                async for change in watch:
                    if change.kind is not ChangeKind.BOOKMARK:
                        seen.append(change)
                    if change.item.name == "i-3":
                        break
                names = ["i-2", "i-3"] if named else ["i-3"]
                assert [change.item.name for change in seen] == names
                assert all(change.item.value != spec() for change in seen[:-1])
                assert seen[-1].item.value == spec()

        asyncio.run(run())


class TestEvents:
    """`read_changes`."""

    @pytest.mark.parametrize(
        ("event", "told"),
        [
            (b'{"Object":%s}' % entry(spec(), version=b"4"), ("put", "i-2", 4)),
            (b'{"Object":%s}' % entry(b"{}", version=b"4"), ("put", "i-2", 4)),
            (b'{"Object":%s}' % entry(spec(), version=b"9999"), ("put", "i-2", 9)),
            (b'{"Object":%s,"Removed":true}' % entry(b"{}", version=b"4"), ("deleted", "i-2", 4)),
            (b'{"Object":%s,"Removed":true}' % entry(b"{}", version=b'"x"'), ("deleted", "i-2", 9)),
            (b'{"Object":{"Metadata":{"Name":"i-2"}},"Removed":true}', ("deleted", "i-2", 9)),
            (b'{"Object":%s,"Removed":"no"}' % entry(spec(), version=b"4"), ("put", "i-2", 4)),
            (b'{"Object":{"Metadata":{"Name":7}},"Removed":true}', None),
            (b'{"Object":null}', None),
            (b'{"Removed":true}', None),
            (b"{}", None),
            (b"null", None),
            (b'"i-2"', None),
        ],
    )
    def test_told(self, event: bytes, told: tuple[str, str, int] | None) -> None:
        """An event applies to the entry it names, or is counted if it names none; others apply."""
        other = b'{"Object":%s}' % entry(spec(), name=b'"i-3"', version=b"5")
        body = b'{"events":[%s,%s],"AsOf":9}' % (event, other)
        page = finish(read_changes(body, kind=KIND))
        found = [(c.kind.value, c.item.name, c.item.version) for c in page.changes]
        assert found == [*([told] if told else []), ("put", "i-3", 5)]
        assert (len(page.unnamed), page.version) == (int(told is None), 9)

    def test_removed_unclear(self) -> None:
        """An entry whose removal flag is invalid has no usable value."""
        event = b'{"Object":%s,"Removed":"no"}' % entry(spec(), version=b"4")
        body = b'{"events":[%s],"AsOf":9}' % event
        (change,) = finish(read_changes(body, kind=KIND)).changes
        assert change.item.value == event

    def test_version(self) -> None:
        """A watch continues past unreadable entries."""

        async def run() -> None:
            async with serve() as (standin, store):
                standin.plant(kind=KIND, name="i-2", entry=b"{}")
                watch = store.watch(kind=KIND, version=1, timeout=9.0)
                change = await anext(watch)
                assert (change.kind, change.item.version) == (ChangeKind.BOOKMARK, 2)

        asyncio.run(run())


@pytest.mark.parametrize(
    ("reader", "member"), [(read_listing, b"Items"), (read_changes, b"events")]
)
@pytest.mark.parametrize(
    "body",
    [
        *(b"", b"<html>", b"null", b"[]", b"{", b'{"Items":[', b'{"Items":[{]}', b'{"Items":{}}'),
        *(b'{"Items":[]}x', b'{"Items":["', b'{"Items":[],"AsOf":"3"}', b"{Items:[]}"),
        b'{"Items":[{"Metadata":{"Name":"i-1","Revision":1}}],"AsOf":null}',
    ],
)
def test_no_page(reader: Callable[..., Steps[Page | Changes]], member: bytes, body: bytes) -> None:
    """Bytes that are not a page raise an error, so that the call is retried."""
    with pytest.raises(ValueError):
        finish(reader(body.replace(b"Items", member), kind=KIND))


MAX_STEP_SECONDS = 0.00625
"""Longest step, in seconds of a core: 50 ms at an eighth of one."""

BAD = b'"\\q",'
"""A list element that is no JSON."""

ODD_CONTENTS = {
    "lists 1,200 deep": b"[%s]" % b",".join([b"[" * 1_200 + b"]" * 1_200] * 390),
    "400,000 deep": b"[" * 400_000 + b"]" * 400_000,
    "lists that open more often": b"[[]," * 150_000 + b"0" + b"]" * 150_000,
    "many small lists": b"[%s[]]" % (BAD + b"[[],{}]," * 90_000),
    "many short texts": b"[%s0]" % (BAD + b'"",' * 250_000),
    "one long text": b'[%s"%s"]' % (BAD, b"a" * 900_000),
    "one long text of escapes": b'[%s"%s"]' % (BAD, rb"\\n" * 400_000),
    "many fields": b'{%s"a":"\\q"}' % b"".join(b'"k%d":0,' % n for n in range(70_000)),
}
"""Contents of a megabyte that cannot be decoded."""


@pytest.mark.parametrize("content", ODD_CONTENTS.values(), ids=ODD_CONTENTS.keys())
def test_odd_entry_holds_no_turn(content: bytes) -> None:
    """A host passes over any entry in short steps, and reads the one beside it."""
    odd = b'{"Object":%s}' % entry(content, version=b"4")
    sound = b'{"Object":%s}' % entry(spec(), name=b'"i-3"', version=b"5")
    body = b'{"events":[%s,%s],"AsOf":9}' % (odd, sound)
    # The shortest of three tries, since this process may also be held up by others.
    longest = []
    for _ in range(3):
        seconds, changes = longest_step(read_changes(body, kind=KIND))
        longest.append(seconds)
        assert [change.item.name for change in changes.changes] == ["i-2", "i-3"]
        assert changes.changes[1].item.value == spec()
    assert min(longest) < MAX_STEP_SECONDS


def longest_step(work: Steps[Changes]) -> tuple[float, Changes]:
    """Do work, and return the longest of its steps in seconds of a core, and its result."""
    longest = 0.0
    while True:
        begun = process_time()
        try:
            next(work)
        except StopIteration as end:
            return max(longest, process_time() - begun), end.value
        longest = max(longest, process_time() - begun)


@pytest.mark.parametrize(
    ("kind", "name", "kept"),
    [("servers", "i-1", False), ("config", "other", False), ("config", "main", True)],
)
def test_large_entry_is_not_kept(kind: str, name: str, kept: bool) -> None:
    """A value that is larger than any valid one is neither kept nor sent to peers."""
    value = b'"%s!"' % (b"a" * MAX_ENTRY_BYTES)
    item = entry(value, name=b'"%s"' % name.encode(), version=b"4")
    body = b'{"Items":[%s],"AsOf":9}' % item
    (found,) = finish(read_listing(body, kind=kind, limit=entry_limit)).items
    assert found.value == (value if kept else OVERSIZED)
