"""The reader neither fails nor loses a valid entry, whatever other programs write."""

import json
from contextlib import suppress
from itertools import zip_longest
from typing import Any
from zlib import compress

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from azureswitch.coordination.mirror._messages import unpack_objects
from azureswitch.core import PlaceName, ServiceName, TargetName
from azureswitch.inventory import Target, TargetRole
from azureswitch.platform import TargetReader, WireObject, from_wire
from azureswitch.platform._entries import read_changes, read_listing
from azureswitch.ports import ChangeKind, StoredObject
from azureswitch.slices import finish
from tests.platform.foreign import GOOD, NO_TARGET, UNREADABLE

KIND = "servers"

UNHURRIED = settings(deadline=None)
"""Disables the deadline per example, which a busy machine may exceed."""

SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text()

FIELDS = st.sampled_from(["Metadata", "Name", "Revision", "Spec", "Status", *GOOD, "born"])

VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(FIELDS | st.text(max_size=3), inner, max_size=4),
    max_leaves=12,
)
"""Arbitrary JSON with frequent platform fields; `json` also writes NaN and infinities."""

JUNK = st.binary(min_size=1, max_size=30).filter(
    lambda raw: bool(raw.strip()) and not set(raw) & set(b'"[]{},\\')
)
"""Bytes that are not JSON but leave the structure of the page intact; blanks alone are no entry."""

TEARS = ("no bytes", "cut off")
"""Contents that break the structure of the page, so that it is rejected and requested again."""

CONTENTS = st.one_of(
    st.builds(lambda value, ascii: dump(value, ascii=ascii), VALUES, st.booleans()),
    JUNK,
    st.sampled_from([value for name, (value, _) in NO_TARGET.items() if name not in TEARS]),
)

ENTRIES = st.one_of(
    CONTENTS,
    st.sampled_from([entry for entry, _ in UNREADABLE.values()]),
    st.builds(
        lambda name, version, content: (
            b'{"Metadata":{"Name":%s,"Revision":%s},"Spec":%s}' % (name, version, content)
        ),
        CONTENTS,
        CONTENTS,
        CONTENTS,
    ),
    st.builds(
        lambda number, content: (
            b'{"Metadata":{"Name":"f-%d","Revision":1},"Spec":%s}' % (number, content)
        ),
        st.integers(0, 5),
        CONTENTS,
    ),
)
"""Arbitrary entries, none with the name of a valid one."""


def dump(value: Any, *, ascii: bool) -> bytes:
    """Return the JSON of a value, which may contain text invalid in UTF-8."""
    return json.dumps(value, ensure_ascii=ascii).encode(errors="surrogatepass")


@st.composite
def good(draw: st.DrawFn) -> dict[str, Any]:
    """Return the fields of a valid target entry."""
    return {
        **GOOD,
        "Service": draw(st.text(min_size=1, max_size=5)),
        "Address": f"10.{draw(st.integers(0, 255))}.0.1:{draw(st.integers(1, 65_535))}",
        "Zone": draw(st.text(min_size=1, max_size=5)),
        "State": draw(st.sampled_from(["in_service", "draining"])),
        "born": draw(st.integers(0, 2**53)),
        **draw(st.dictionaries(st.text(max_size=2), VALUES.map(_plain), max_size=2)),
    }


def _plain(value: Any) -> Any:
    """Return a value without NaN and infinities, which are not valid JSON."""
    return json.loads(json.dumps(value).replace("NaN", "1").replace("Infinity", "1"))


def good_entry(name: str, fields: dict[str, Any]) -> bytes:
    """Return the entry of a target."""
    return msgspec.json.encode(
        {"Metadata": {"Name": name, "Revision": 3}, "Spec": fields, "Status": None}
    )


def mixed(ours: list[bytes], others: list[bytes]) -> bytes:
    """Return JSON list elements that alternate between other and valid entries."""
    pairs = zip_longest(others, ours)
    return b",".join(entry for pair in pairs for entry in pair if entry is not None)


def before(entry: bytes) -> StoredObject:
    """Return a valid entry decoded on its own."""
    return from_wire(kind=KIND, item=msgspec.json.decode(entry, type=WireObject))


def expected(name: str, fields: dict[str, Any]) -> Target:
    """Return the target of a valid entry."""
    serving = fields["State"] == "in_service"
    return Target(
        name=TargetName(name),
        service=ServiceName(fields["Service"]),
        place=PlaceName(fields["Zone"]),
        address=fields["Address"],
        role=TargetRole.SERVING if serving else TargetRole.DRAINING,
        started=fields["born"],
    )


class TestBytes:
    """Arbitrary bytes."""

    @UNHURRIED
    @given(st.binary() | CONTENTS | ENTRIES)
    def test_whole(self, raw: bytes) -> None:
        """An invalid page raises `ValueError` and nothing else."""
        for body in (raw, b'{"Items":%s,"AsOf":3}' % raw, b'{"events":%s,"AsOf":3}' % raw):
            with suppress(ValueError):
                finish(read_listing(body, kind=KIND))
            with suppress(ValueError):
                finish(read_changes(body, kind=KIND))
        for packed in (raw, compress(raw)):
            with suppress(ValueError):
                unpack_objects(packed)

    @UNHURRIED
    @given(st.lists(st.tuples(st.text(), st.binary() | CONTENTS)))
    def test_values(self, values: list[tuple[str, bytes]]) -> None:
        """Each entry is either read as a target or reported as foreign."""
        items = [
            StoredObject(kind=KIND, name=name, version=1, value=value) for name, value in values
        ]
        found = TargetReader().read(items, deployment=None)
        assert len(found.targets) + len(found.foreign) == len(items)


class TestGood:
    """Valid entries between arbitrary ones."""

    @UNHURRIED
    @given(st.lists(good(), max_size=4), st.lists(ENTRIES, max_size=4), st.booleans())
    def test_listing(self, ours: list[dict[str, Any]], others: list[bytes], more: bool) -> None:
        """All are read as on their own, and the page's own fields are preserved."""
        entries = [good_entry(f"g-{n}", fields) for n, fields in enumerate(ours)]
        body = b'{"Items":[%s],"HasMore":%s,"AsOf":9}' % (
            mixed(entries, others),
            dump(more, ascii=True),
        )
        page = finish(read_listing(body, kind=KIND))
        kept = [item for item in page.items if item.name.startswith("g-")]
        assert kept == [before(entry) for entry in entries]
        assert (page.more, page.version) == (more, 9)
        assert len(page.items) + len(page.unnamed) == len(entries) + len(others)
        targets = TargetReader().read(page.items, deployment=None).targets
        named = [target for target in targets if target.name.startswith("g-")]
        assert named == [expected(f"g-{n}", fields) for n, fields in enumerate(ours)]

    @UNHURRIED
    @given(st.lists(good(), max_size=4), st.lists(ENTRIES, max_size=4), st.booleans())
    def test_changes(self, ours: list[dict[str, Any]], others: list[bytes], removed: bool) -> None:
        """All their changes are reported, and the version to continue from is preserved."""
        entries = [good_entry(f"g-{n}", fields) for n, fields in enumerate(ours)]
        flag = dump(removed, ascii=True)
        events = [b'{"Object":%s,"Removed":%s}' % (entry, flag) for entry in entries]
        foreign = [b'{"Object":%s}' % entry for entry in others]
        body = b'{"events":[%s],"AsOf":9}' % mixed(events, [*foreign, *others])
        page = finish(read_changes(body, kind=KIND))
        kept = [change for change in page.changes if change.item.name.startswith("g-")]
        assert [change.item.name for change in kept] == [f"g-{n}" for n in range(len(ours))]
        kind = ChangeKind.DELETED if removed else ChangeKind.PUT
        assert {change.kind for change in kept} <= {kind}
        if not removed:
            assert [change.item for change in kept] == [before(entry) for entry in entries]
        assert page.version == 9
