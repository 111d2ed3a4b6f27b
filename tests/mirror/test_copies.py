"""Decoding of a peer's copy in which single objects are invalid."""

from zlib import compress

import pytest
from msgspec.msgpack import encode

from azureswitch.coordination.mirror._messages import MAX_COPY_BYTES, unpack_objects
from azureswitch.ports import StoredObject

GOOD = (
    StoredObject(kind="k", name="a", version=1, value=b"1"),
    StoredObject(kind="k", name="b", version=2, value=b"2"),
)


class TestUnpack:
    """Unit tests of `unpack_objects`."""

    @pytest.mark.parametrize(
        "foreign",
        [
            None,
            7,
            "text",
            [],
            {},
            {"kind": "k", "name": 7, "version": 3, "value": b""},
            {"kind": "k", "name": "c", "version": "3", "value": b""},
            {"kind": "k", "name": "c", "version": 3, "value": 3},
            {"kind": "k", "name": "c", "version": 3},
            {"kind": "k", "version": 3, "value": b""},
        ],
    )
    def test_invalid_object(self, foreign: object) -> None:
        """An object that cannot be decoded does not discard the other objects of the copy."""
        packed = compress(encode([GOOD[0], foreign, GOOD[1]]))
        assert unpack_objects(packed) == GOOD

    @pytest.mark.parametrize(
        "packed",
        [compress(b"0" * (MAX_COPY_BYTES + 1)), compress(encode(GOOD))[:-1]],
        ids=["too large", "cut off"],
    )
    def test_bounded(self, packed: bytes) -> None:
        """A copy that expands to more than a copy may have is none, nor is a part of one."""
        with pytest.raises(ValueError, match="cut off, or too large"):
            unpack_objects(packed)
