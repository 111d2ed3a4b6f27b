"""Digests that identify a request, or a part of its prompt, whatever id each attempt has."""

from hashlib import sha256

PART_PREFIX = "part-"
"""Begins the fingerprints of parts, so that none is equal to that of a request."""

PART_DIGITS = 16
"""Hexadecimal digits of a part's fingerprint."""


def fingerprint(*, method: str, scope: str, path: str, body: bytes) -> str:
    """Return a digest of what a request asks for, in hexadecimal digits.

    Args:
        method: Its method.
        scope: What its path belongs to: a service, or the host name that callers use.
        path: Its path and query.
        body: Its whole body.
    """
    digest = sha256(f"{method} {scope} {path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def part_fingerprint(*, service: str, model: str, part: str) -> str:
    """Return a digest of a part that prompts share.

    Another service or model may run the same part with another result.

    Args:
        service: The service that runs the prompt.
        model: The model that runs it.
        part: The id of the part.
    """
    digest = sha256(f"{service}\n{model}\n{part}".encode())
    return PART_PREFIX + digest.hexdigest()[:PART_DIGITS]
