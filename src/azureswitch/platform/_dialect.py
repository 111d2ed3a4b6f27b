"""Translates the HTTP headers exchanged with callers and targets."""

import re
from collections.abc import Iterable
from http import HTTPStatus

import msgspec

from azureswitch.client import HOP_BY_HOP, Headers, HttpHead
from azureswitch.core import CallId
from azureswitch.exceptions import AzureswitchError, InvalidHeaderError
from azureswitch.gateway import (
    AdvertisedLimit,
    AnswerInfo,
    AttemptInfo,
    Helper,
    PromptPart,
    RequestInfo,
)
from azureswitch.platform import _headers as names
from azureswitch.server import HttpRequest

DEFAULT_URGENCY = 5
"""The urgency class of a request that does not specify one."""

MAX_URGENCY = 9
"""The urgency class admitted last; class 0 is admitted first."""

MAX_LOGGED_CHARACTERS = 64
"""Characters of a limit header's value that are logged."""

MAX_PARTS = 64
"""Parts of a prompt that are decoded; further ones are passed on to the target undecoded."""

PART = re.compile(r"([0-9A-Fa-f]{1,64}):([0-9]{1,15})")
"""A part of a prompt: its id and its number of tokens."""

DECIMAL = re.compile(r"[0-9]{1,300}(\.[0-9]{1,300})?")
"""A non-negative decimal number that fits into a float."""

MISDIRECTED = HTTPStatus.MISDIRECTED_REQUEST


class Failure(msgspec.Struct, frozen=True, kw_only=True):
    """The body of an error response of this system."""

    error: str = msgspec.field(name="Error")
    message: str = msgspec.field(name="Message")


class PlatformDialect:
    """Implements `azureswitch.gateway.Dialect` for the platform's headers."""

    def read(self, request: HttpRequest) -> RequestInfo:
        """Decode a caller's headers."""
        headers = dict(request.headers)
        prompt, output = _tokens(headers.get(names.TOKENS))
        left = _number(headers, names.MILLISECONDS_LEFT)
        return RequestInfo(
            id=CallId(_id(headers)),
            key=_key(headers.get(names.KEY, "")),
            seconds_left=None if left is None else left / 1_000.0,
            model=headers.get(names.MODEL, ""),
            prompt_tokens=prompt,
            output_tokens=output,
            last_event=int(_number(headers, names.LAST_EVENT) or 0),
            parts=_parts(headers.get(names.PROMPT_PARTS)),
        )

    def id_of(self, request: HttpRequest) -> str:
        """Return the caller's id of this attempt, or an empty string if it sent none."""
        return request.header(names.ID) or ""

    def sending(self, request: HttpRequest, sending: AttemptInfo) -> Headers:
        """Return the headers of an attempt to a target."""
        passed = _without(request.headers, names.SET_BY_US)
        added = [
            (names.MILLISECONDS_LEFT, str(max(1, int(sending.seconds_left * 1_000.0)))),
            (names.EXPECTED_TARGET, sending.target),
        ]
        if sending.customer:
            added.append((names.CUSTOMER, sending.customer))
        if sending.last_event:
            added.append((names.LAST_EVENT, str(sending.last_event)))
        if sending.arrival.model:
            urgency = min(MAX_URGENCY, max(0, DEFAULT_URGENCY + sending.urgency))
            added.append((names.URGENCY, str(urgency)))
        if sending.helpers:
            helpers = ",".join(_helper(helper) for helper in sending.helpers)
            added.append((names.HELPERS, helpers))
        return (*passed, *added)

    def decode_answer(self, head: HttpHead) -> AnswerInfo:
        """Decode the head of a target's response."""
        promised = head.header(name=names.NOT_RUN) is not None
        misdirected = head.status == MISDIRECTED
        return AnswerInfo(
            not_run=promised or misdirected,
            id=head.header(name=names.ID),
            retry_after=head.retry_after,
            at_fault=head.header(name=names.AT_FAULT),
            sealed=head.header(name=names.SEAL) is not None,
            readable=head.header(name="content-encoding") is None,
            # A misdirected request reached another target, whose headers describe itself.
            leaving=head.header(name=names.LEAVING) == names.TRUE and not misdirected,
            limit=None if misdirected else _limit(head),
        )

    def answer(self, head: HttpHead) -> Headers:
        """Return the headers of a target's response that are passed on to the caller."""
        return _without(head.headers, frozenset())

    def failure(self, error: AzureswitchError) -> tuple[Headers, bytes]:
        """Return the headers and the body of an error response to a caller."""
        headers: Headers = (("content-type", "application/json"),)
        if error.retry_after is not None:
            headers = (*headers, (names.RETRY_AFTER, f"{error.retry_after:.3f}"))
        return headers, msgspec.json.encode(Failure(error=error.code, message=error.message))


def _limit(head: HttpHead) -> AdvertisedLimit | None:
    """Return the request rate limit that a target sent, the smallest if it sent several.

    The limit has no rate if any of the values is not a decimal number.
    """
    texts = [value.strip() for name, value in head.headers if name == names.LIMIT]
    if not texts:
        return None
    readable = all(DECIMAL.fullmatch(text) for text in texts)
    rate = min(map(float, texts)) if readable else None
    return AdvertisedLimit(text=", ".join(texts)[:MAX_LOGGED_CHARACTERS], rate=rate)


def _helper(helper: Helper) -> str:
    return helper.address if helper.ticket is None else f"{helper.address}/{helper.ticket}"


def _id(headers: dict[str, str]) -> str:
    value = headers.get(names.ID, "")
    if not value:
        raise InvalidHeaderError(name=names.ID, expected="the id of this try")
    return value


def _key(value: str) -> str | None:
    if value.lower().startswith(names.KEY_SCHEME):
        return value[len(names.KEY_SCHEME) :].strip()
    return None


def _number(headers: dict[str, str], name: str) -> float | None:
    value = headers.get(name)
    if value is None:
        return None
    try:
        return max(0.0, float(value))
    except ValueError as error:
        raise InvalidHeaderError(name=name, expected="a number") from error


def _tokens(value: str | None) -> tuple[int, int]:
    """Return the prompt tokens and the maximum output tokens."""
    if not value:
        return 0, 0
    prompt, _, output = value.partition(",")
    try:
        return max(0, int(prompt)), max(0, int(output or "0"))
    except ValueError as error:
        raise InvalidHeaderError(name=names.TOKENS, expected="two counts") from error


def _parts(value: str | None) -> tuple[PromptPart, ...]:
    """Return the parts of the prompt, the last of which belongs to this request alone."""
    if not value:
        return ()
    texts = value.split(",")
    # The last part is kept, as callers of `RequestInfo` leave it out by its position.
    kept = texts if len(texts) <= MAX_PARTS else [*texts[: MAX_PARTS - 1], texts[-1]]
    return tuple(map(_part, kept))


def _part(text: str) -> PromptPart:
    found = PART.fullmatch(text.strip())
    if found is None:
        raise InvalidHeaderError(name=names.PROMPT_PARTS, expected="parts of a prompt")
    return PromptPart(id=found[1].lower(), tokens=int(found[2]))


def _without(headers: Iterable[tuple[str, str]], dropped: frozenset[str]) -> Headers:
    """Return the headers without the hop-by-hop headers and those in ``dropped``."""
    pairs = tuple(headers)
    listed = {
        token.strip().lower()
        for name, value in pairs
        if name == "connection"
        for token in value.split(",")
    }
    gone = HOP_BY_HOP | dropped | listed
    return tuple((name, value) for name, value in pairs if name not in gone)
