"""What an entry says of itself to operators."""

import msgspec

from azureswitch.client import HttpClient
from azureswitch.exceptions import HttpError


class _Status(msgspec.Struct, frozen=True):
    """The part of a host's status that is watched."""

    revision: int


async def read_revision(*, address: str, timeout: float) -> int | None:
    """Return the revision in force on an entry, or None where it does not say.

    Args:
        address: Where it serves operators, as ``IP:PORT``.
        timeout: Seconds that the answer may take.
    """
    client = HttpClient(address=address)
    try:
        answer = await client.request(method="GET", path="/status", timeout=timeout)
        return msgspec.json.decode(answer.body, type=_Status).revision
    except (HttpError, msgspec.MsgspecError):
        return None
    finally:
        client.close()
