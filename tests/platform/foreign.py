"""Invalid store entries, as another program might write them."""

from typing import Any

import msgspec

from azureswitch.platform import Fault
from azureswitch_standins.store import REVISION

SERVICE = "desk"

PLACE = "z1"

GOOD: dict[str, Any] = {
    "Service": SERVICE,
    "Address": "10.0.0.9:80",
    "Zone": PLACE,
    "State": "in_service",
    "Slots": 8,
    "Version": "1",
    "ColdLeftMs": 0,
    "Sequence": 4,
}
"""The fields of a valid target entry."""

USED = ("Service", "Address", "Zone", "State", "Slots", "Version", "ColdLeftMs", "Sequence")
"""Fields that a target entry must have."""

WRONG = {
    **{name: (7, ["x"]) for name in ("Service", "Address", "Zone", "State", "Version")},
    **{name: ("5", 5.5, True, []) for name in ("Slots", "Sequence")},
    "ColdLeftMs": ("0", False, []),
}
"""Values that the fields must not have."""

DEEP = b"[" * 2_000 + b"]" * 2_000
"""JSON nested beyond the decoder's depth limit."""


def spec(**changes: Any) -> bytes:
    """Return a target entry with some fields changed; fields set to None are left out."""
    fields = {name: value for name, value in {**GOOD, **changes}.items() if value is not None}
    return msgspec.json.encode(fields)


def entry(content: bytes, *, name: bytes = b'"i-2"', version: bytes = REVISION) -> bytes:
    """Return an entry in the platform's JSON form."""
    metadata = b'{"Name":%s,"Revision":%s}' % (name, version)
    return b'{"Metadata":%s,"Spec":%s,"Status":null}' % (metadata, content)


UNREADABLE: dict[str, tuple[bytes, bool]] = {
    "text that is not base64": (entry(b'"not base64"'), True),
    "text outside of ASCII": (entry('"é"'.encode()), True),
    "escape that is none": (entry(rb'{"Service":"\q"}'), True),
    "half of a pair": (entry(rb'{"Service":"\ud800"}'), True),
    "control character": (entry(b'{"Service":"\x01"}'), True),
    "number that is none": (entry(b"NaN"), True),
    "nested too deeply": (entry(DEEP), True),
    "name that is a number": (entry(spec(), name=b"7"), False),
    "name that is null": (entry(spec(), name=b"null"), False),
    "name that is empty": (entry(spec(), name=b'""'), False),
    "name that is not UTF-8": (entry(spec(), name=b'"\xff"'), False),
    "version that is a text": (entry(spec(), version=b'"3"'), False),
    "version that is a fraction": (entry(spec(), version=b"3.0"), False),
    "version that is negative": (entry(spec(), version=b"-3"), False),
    "version out of range": (entry(spec(), version=b"9223372036854775808"), False),
    "no version": (b'{"Metadata":{"Name":"i-2"},"Spec":%s}' % spec(), False),
    "no name": (b'{"Metadata":{"Revision":REVISION},"Spec":%s}' % spec(), False),
    "no metadata": (b'{"Spec":%s}' % spec(), False),
    "metadata that are null": (b'{"Metadata":null,"Spec":%s}' % spec(), False),
    "metadata that are a list": (b'{"Metadata":["i-2",3],"Spec":%s}' % spec(), False),
    "nothing": (b"{}", False),
    "bare text": (b'"i-2"', False),
    "bare number": (b"17", False),
    "bare null": (b"null", False),
    "list": (b'["i-2"]', False),
    "word": (b"nothing", False),
}
"""Entries that prevent decoding a page as a whole, and whether name and version are readable."""

NO_TARGET: dict[str, tuple[bytes, Fault]] = {
    **{f"no {name}": (spec(**{name: None}), Fault.FIELD) for name in USED},
    **{
        f"{name} is {wrong!r}": (spec(**{name: wrong}), Fault.FIELD)
        for name, values in WRONG.items()
        for wrong in values
    },
    "null": (b"null", Fault.FIELD),
    "number": (b"17", Fault.FIELD),
    "text": (b'"not base64"', Fault.FIELD),
    "list": (b"[]", Fault.FIELD),
    "nothing": (b"{}", Fault.FIELD),
    "no bytes": (b"", Fault.UNREADABLE),
    "cut off": (spec()[:-1], Fault.UNREADABLE),
    "not UTF-8": (spec(Service="?").replace(b"?", b"\xff"), Fault.UNREADABLE),
    "half of a pair": (spec(x="?").replace(b"?", rb"\ud800"), Fault.UNREADABLE),
    "nested too deeply": (spec(x="?").replace(b'"?"', DEEP), Fault.UNREADABLE),
    "models are a text": (spec(Models="m"), Fault.FIELD),
    "model without a name": (spec(Models=[{}]), Fault.FIELD),
    "service is empty": (spec(Service=""), Fault.SERVICE),
    "service is unknown": (spec(Service="other"), Fault.SERVICE),
    "state is empty": (spec(State=""), Fault.STATE),
    "state is unknown": (spec(State="retired"), Fault.STATE),
    "state is spelled otherwise": (spec(State="In_Service"), Fault.STATE),
    "place is empty": (spec(Zone=""), Fault.PLACE),
    "place is unknown": (spec(Zone="z9"), Fault.PLACE),
    **{
        f"address is {text!r}": (spec(Address=text), Fault.ADDRESS)
        for text in (
            *("", "nowhere", "nowhere:80", "10.0.0.9", "10.0.0.9:", ":80", "10.0.0.9:http"),
            *("10.0.0.9:0", "10.0.0.9:080", "10.0.0.9:65536", "10.0.0.9:-1", "10.0.0.9:80 "),
            *("10.0.0.256:80", "10.0.9:80", "010.0.0.9:80", "0.0.0.0:80", "224.0.0.1:80"),
            *(
                "[::1]:80",
                "http://10.0.0.9:80",
                "10.0.0.9:80/t",
                "10.0.0.9:80\n",
                "10.0.0.\u0669:80",
            ),
        )
    },
    **{
        f"born is {text}": (spec(born="?").replace(b'"?"', text.encode()), Fault.FIELD)
        for text in ("null", "true", "1.0", "1e3", '"1"', "[1]", "{}", "-1", "9" * 30)
    },
}
"""Contents of named entries that are not valid targets, and their faults."""
