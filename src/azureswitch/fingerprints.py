"""Tells requests apart by what they ask for, whatever id a caller gives each try."""

from hashlib import sha256


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
