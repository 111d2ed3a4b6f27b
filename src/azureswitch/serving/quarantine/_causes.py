"""What may have crashed a target: a whole request, or a part that its prompt shares with others."""

from typing import NamedTuple

from azureswitch.core import CustomerName
from azureswitch.fingerprints import PART_PREFIX
from azureswitch.serving._events import Call


class Cause(NamedTuple):
    """Identifies a request over all of its attempts, or a part over all prompts of a customer.

    Attributes:
        customer: The customer; no customer's requests suffer from those of another one.
        fingerprint: The fingerprint of the request or of the part.
    """

    customer: CustomerName
    fingerprint: str

    @property
    def shared(self) -> bool:
        """Whether it is a part, which requests that are not alike may share."""
        return self.fingerprint.startswith(PART_PREFIX)


def request_cause(call: Call) -> tuple[Cause, ...]:
    """Return the request itself as a cause, or nothing if its fingerprint is unknown."""
    if not call.fingerprint:
        return ()
    return (Cause(customer=call.customer, fingerprint=call.fingerprint),)


def part_causes(call: Call) -> tuple[Cause, ...]:
    """Return the shared parts of a call's prompt as causes."""
    return tuple(Cause(customer=call.customer, fingerprint=part) for part in call.parts)


def causes_of(call: Call) -> tuple[Cause, ...]:
    """Return all that a call consists of and that may crash a target."""
    return request_cause(call) + part_causes(call)
