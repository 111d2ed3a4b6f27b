"""Splits JSON that cannot be decoded as a whole at its commas and brackets.

It runs in steps, since another program may have written a megabyte of brackets, which would hold
the event loop for a second.
"""

import re

from msgspec import Struct

from azureswitch.slices import GO_ON, Steps

STEP_MARKS = 256
"""Commas and runs of brackets that are passed in one step."""

WINDOW_BYTES = 16_384
"""Bytes that one match of a pattern may pass."""

MAX_NAME_BYTES = 4_096
"""Bytes that the name of a member may have."""

_TEXT = rb'(?:[^"\\]++|\\.)*+'
_STRING = rb'"%s"' % _TEXT
_NAME = re.compile(_STRING, re.DOTALL)

_CHARACTERS = re.compile(_TEXT, re.DOTALL)
"""Characters within a string."""

_ELEMENTS = rb'(?:[^"\[\]{},]++|%s)*+' % _STRING
"""What stands before the next comma or bracket outside of strings."""

_CONTENT = rb'(?:[^"\[\]{}]++|%s)*+' % _STRING
"""The same without commas, which only matter at the outermost level."""


class Pattern(Struct, frozen=True, kw_only=True):
    """Finds the next mark.

    Attributes:
        mark: Matches what stands before it, and the mark as a group.
        content: Matches what stands before it alone.
    """

    mark: re.Pattern[bytes]
    content: re.Pattern[bytes]


_OUTERMOST = Pattern(
    mark=re.compile(_ELEMENTS + rb"([\[{]++|[\]}]++|,)", re.DOTALL),
    content=re.compile(_ELEMENTS, re.DOTALL),
)
_INNER = Pattern(
    mark=re.compile(_CONTENT + rb"([\[{]++|[\]}]++)", re.DOTALL),
    content=re.compile(_CONTENT, re.DOTALL),
)

_CLOSING = {b"[": b"]", b"{": b"}"}


class Parts:
    """The comma-separated parts of a list or an object, found one after the other.

    Only the outermost brackets must match; those within a part concern only its decoder.

    Args:
        container: The list or object.
        opening: Its opening bracket.

    Raises:
        ValueError: The bytes are neither.
    """

    def __init__(self, *, container: bytes, opening: bytes) -> None:
        self._container = container.strip()
        closing = _CLOSING[opening]
        if not (self._container.startswith(opening) and self._container.endswith(closing)):
            raise ValueError("The bytes are not of the form that is expected.")
        self._position = 1
        self._over = False

    def next(self) -> Steps[bytes | None]:
        """Return the next part, or None if there is none, in steps.

        Raises:
            ValueError: The bytes contain an unterminated string, or too few or too many brackets.
        """
        if self._over:
            return None
        container, position, depth, marks = self._container, self._position, 1, 0
        start = position
        while True:
            pattern = _INNER if depth > 1 else _OUTERMOST
            match = pattern.mark.match(container, position, position + WINDOW_BYTES)
            marks += 1
            if match is None or not marks % STEP_MARKS:
                yield GO_ON
            if match is None:
                position = yield from self._skip(pattern, position)
                continue
            mark, position = match[1], match.end()
            if mark == b",":
                self._position = position
                return container[start : position - 1].strip()
            depth += len(mark) if mark[:1] in _CLOSING else -len(mark)
            if depth <= 0:
                self._check_end(depth, position)
                last = container[start:-1].strip()
                return last if last or start > 1 else None

    def _check_end(self, depth: int, position: int) -> None:
        if depth or position != len(self._container):
            raise ValueError("The bytes go on after their end.")
        self._over = True

    def _skip(self, pattern: Pattern, position: int) -> Steps[int]:
        """Return the position behind content that is longer than one match may pass."""
        container = self._container
        passed = pattern.content.match(container, position, position + WINDOW_BYTES)
        end = position if passed is None else passed.end()
        if container[end : end + 1] == b'"':
            end = yield from self._skip_string(end + 1)
        if end >= len(container):
            raise ValueError("The bytes end too early.")
        return end

    def _skip_string(self, position: int) -> Steps[int]:
        """Return the position behind a string, of which the opening quote was passed."""
        container = self._container
        while container[position : position + 1] != b'"':
            if position >= len(container):
                raise ValueError("The bytes have a string without an end.")
            passed = _CHARACTERS.match(container, position, position + WINDOW_BYTES)
            end = position if passed is None else passed.end()
            # An escape at the end of a window is passed by itself.
            position = end if end > position else position + 2
            yield GO_ON
        return position + 1


def members(container: bytes, *, until: bytes = b"") -> Steps[dict[bytes, bytes]]:
    """Return the members of an object without decoding them.

    Args:
        container: The object.
        until: The name of a member after which no others are wanted; empty for all.

    Raises:
        ValueError: The bytes are not an object.
    """
    found: dict[bytes, bytes] = {}
    rest = Parts(container=container, opening=b"{")
    while not until or until not in found:
        part = yield from rest.next()
        if part is None:
            break
        name = _NAME.match(part, 0, MAX_NAME_BYTES)
        value = part[name.end() :].lstrip() if name else b""
        if name is None or not value.startswith(b":"):
            raise ValueError("A member of an object has no name.")
        found[name[0][1:-1]] = value[1:].strip()
        yield GO_ON
    return found


def elements(container: bytes) -> Steps[tuple[bytes, ...]]:
    """Return the elements of a list without decoding them.

    Raises:
        ValueError: The bytes are not a list.
    """
    found: list[bytes] = []
    rest = Parts(container=container, opening=b"[")
    while (part := (yield from rest.next())) is not None:
        found.append(part)
        yield GO_ON
    return tuple(found)


def split_member(body: bytes, *, name: bytes) -> Steps[tuple[tuple[bytes, ...], bytes]]:
    """Return the elements of a member of an object, and the object without that member.

    Raises:
        ValueError: The bytes are not an object, or the member is not a list.
    """
    found = yield from members(body)
    parts = yield from elements(found.pop(name, b"[]"))
    rest = b",".join(b'"%s":%s' % member for member in found.items())
    return parts, b"{%s}" % rest
