"""Lookup of customers by API key."""

from collections.abc import Iterable
from hashlib import sha256
from hmac import compare_digest

from azureswitch.exceptions import UnauthenticatedError
from azureswitch.inventory import Customer

_SCHEME = "bearer"
_BUCKET_DIGITS = 4
"""Leading hexadecimal digits of a key's hash that choose the customers to compare with."""


class KeyTable:
    """Customers by the SHA-256 of their API keys; the keys themselves are not stored."""

    def __init__(self, *, customers: Iterable[Customer] = ()) -> None:
        self._buckets: dict[str, list[Customer]] = {}
        for customer in customers:
            bucket = self._buckets.setdefault(customer.key_hash[:_BUCKET_DIGITS], [])
            bucket.append(customer)

    def find(self, authorization: str | None) -> Customer:
        """Return the customer whose key is in an ``Authorization`` header.

        Hashes are compared in constant time.

        Raises:
            UnauthenticatedError: The key is missing or not known.
        """
        scheme, _, key = (authorization or "").partition(" ")
        if scheme.lower() != _SCHEME or not key.strip():
            raise UnauthenticatedError()
        digest = sha256(key.strip().encode()).hexdigest()
        found = None
        for customer in self._buckets.get(digest[:_BUCKET_DIGITS], ()):
            if compare_digest(customer.key_hash, digest):
                found = customer
        if found is None:
            raise UnauthenticatedError()
        return found
