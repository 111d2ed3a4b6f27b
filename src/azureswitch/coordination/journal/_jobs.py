"""Signed job ids, which contain where a request runs and cannot be forged by callers."""

from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error
from hashlib import blake2b
from hmac import compare_digest

from msgspec import MsgspecError
from msgspec.msgpack import decode, encode

from azureswitch.coordination.journal._model import JobRecord
from azureswitch.core import CallId, CustomerName, HostName, Incarnation, TargetName

KEY_BYTES = 32
"""Bytes of the key that signs job ids."""

_SIGNATURE_BYTES = 16
"""Bytes of the signature in a job id."""

_Fields = tuple[str, str, int, str, int, int]


class JobSigner:
    """Signs and verifies job ids.

    The signature covers the customer, which the id does not contain: another customer cannot use
    the id.

    Args:
        key: The key, the same on every host.
    """

    def __init__(self, *, key: bytes) -> None:
        self._key = key

    def sign(self, record: JobRecord) -> str:
        """Return the job id of a record."""
        fields: _Fields = (
            record.call,
            record.target,
            record.attempt,
            record.owner.host,
            record.owner.started,
            int(record.expires),
        )
        body = encode(fields)
        return _text(self._signature(body, record.customer) + body)

    def read(self, *, job: str, customer: CustomerName) -> JobRecord | None:
        """Return the record in a job id, or None if it was not signed for this customer.

        Args:
            job: The job id.
            customer: The customer that presents it.
        """
        try:
            raw = urlsafe_b64decode(job + "=" * (-len(job) % 4))
        except (Error, ValueError):
            return None
        # Base64 ignores unused trailing bits and invalid characters; only one spelling is accepted.
        if _text(raw) != job:
            return None
        signature, body = raw[:_SIGNATURE_BYTES], raw[_SIGNATURE_BYTES:]
        if not compare_digest(signature, self._signature(body, customer)):
            return None
        return _record(body, customer)

    def _signature(self, body: bytes, customer: CustomerName) -> bytes:
        digest = blake2b(key=self._key, digest_size=_SIGNATURE_BYTES)
        digest.update(encode(customer))
        digest.update(body)
        return digest.digest()


def _text(raw: bytes) -> str:
    return urlsafe_b64encode(raw).decode().rstrip("=")


def _record(body: bytes, customer: CustomerName) -> JobRecord | None:
    try:
        call, target, attempt, host, started, expires = decode(body, type=_Fields)
    except MsgspecError:
        return None
    return JobRecord(
        call=CallId(call),
        customer=customer,
        target=TargetName(target),
        attempt=attempt,
        owner=Incarnation(host=HostName(host), started=started),
        expires=float(expires),
    )
