"""``azureswitch release``."""

from asyncio import gather
from http import HTTPStatus

from cleo.helpers import argument, option
from msgspec import Struct, json

from azureswitch.client import HttpAnswer, HttpClient
from azureswitch.commands._base import OperatorCommand, text
from azureswitch.core import CustomerName
from azureswitch.exceptions import EntryUnreachableError, HttpError, QuarantineNotFoundError
from azureswitch.status import RELEASE_PATH, ReleaseOrder

RELEASE_TIMEOUT_SECONDS = 2.0
"""Seconds that a host may take to answer."""


class ReleaseReport(Struct, frozen=True, kw_only=True):
    """A quarantine that was ended.

    Attributes:
        customer: The customer.
        fingerprint: The request or part of prompts.
        hosts: The operations addresses at which it was ended; these hosts tell the others.
        unknown: Those whose hosts did not know of it.
        silent: Those that did not answer.
    """

    customer: str
    fingerprint: str
    hosts: tuple[str, ...]
    unknown: tuple[str, ...]
    silent: tuple[str, ...]


@text.register
def _(report: ReleaseReport) -> str:
    return f"Released {report.fingerprint} of {report.customer} at {', '.join(report.hosts)}."


class ReleaseCommand(OperatorCommand):
    """Ends the quarantine of a request or of a part of prompts."""

    name = "release"
    description = "Send a quarantined request, or requests with a quarantined part, again."
    arguments = [  # noqa: RUF012
        argument("customer", description="The customer, as in azureswitch status."),
        argument("fingerprint", description="The fingerprint, as in azureswitch status."),
    ]
    options = [  # noqa: RUF012
        *OperatorCommand.options,
        option("reason", description="Why, for the log.", flag=False),
    ]

    async def report(self) -> ReleaseReport:
        """Tell the hosts of the settings.

        Raises:
            EntryUnreachableError: No host answered.
            QuarantineNotFoundError: No host knows of such a quarantine.
        """
        order = ReleaseOrder(
            customer=CustomerName(self.argument("customer")),
            fingerprint=self.argument("fingerprint"),
            author=self.author,
            reason=self.option("reason") or "",
        )
        addresses = tuple(str(address) for address in self.settings.operations)
        clients = (self.entry(address) for address in addresses)
        found = await gather(*(_order(client, order) for client in clients))
        answers = dict(zip(addresses, found, strict=True))
        done = _with_status(answers, HTTPStatus.NO_CONTENT)
        unknown = _with_status(answers, HTTPStatus.NOT_FOUND)
        if not done and unknown:
            raise QuarantineNotFoundError(customer=order.customer, fingerprint=order.fingerprint)
        if not done:
            raise EntryUnreachableError(addresses=", ".join(addresses))
        return ReleaseReport(
            customer=order.customer,
            fingerprint=order.fingerprint,
            hosts=done,
            unknown=unknown,
            silent=tuple(name for name, answer in answers.items() if answer is None),
        )


def _with_status(answers: dict[str, HttpAnswer | None], status: HTTPStatus) -> tuple[str, ...]:
    return tuple(
        name for name, answer in answers.items() if answer and answer.head.status == status
    )


async def _order(client: HttpClient, order: ReleaseOrder) -> HttpAnswer | None:
    try:
        return await client.request(
            method="POST",
            path=RELEASE_PATH,
            body=json.encode(order),
            timeout=RELEASE_TIMEOUT_SECONDS,
        )
    except HttpError:
        return None
