"""``azureswitch explain``."""

from pathlib import Path

from cleo.helpers import option
from msgspec.structs import replace

from azureswitch.commands._base import OperatorCommand, outcome, text
from azureswitch.commands._exits import ExitCode
from azureswitch.commands._explain import Explanation, Question, explain
from azureswitch.commands._loads import EngineLoad, read_loads
from azureswitch.commands._numbers import count, seconds
from azureswitch.commands._revisions import EMPTY
from azureswitch.inventory import Snapshot, keep_evacuations, load_inventory, load_rules


@text.register
def _(report: Explanation) -> str:
    verdict = "admitted" if report.admitted else f"refused ({report.error})"
    load = "with the engines' present load" if report.live else "on a fleet without load"
    lines = [f"By revision {report.revision}, {load}, it would be {verdict}."]
    lines += [f"- {step}" for step in report.steps]
    if report.retry_after is not None:
        lines.append(f"- The caller is told to come back in {report.retry_after:.0f} s.")
    return "\n".join(lines)


@outcome.register
def _(report: Explanation) -> ExitCode:
    return ExitCode.DONE if report.admitted else ExitCode.ATTENTION


class ExplainCommand(OperatorCommand):
    """Says what would become of a request."""

    name = "explain"
    description = "Say why a request would be admitted or refused and where it would go."
    options = [  # noqa: RUF012 - cleo's own way to declare them.
        *OperatorCommand.options,
        option("customer", "c", description="Who sends it.", flag=False),
        option("model", "m", "The model of a completion.", flag=False, default=""),
        option("service", None, "The plain service of another call.", flag=False, default=""),
        option("method", None, "The method of such a call.", flag=False, default="POST"),
        option("prompt-tokens", None, "Tokens of the prompt.", flag=False, default="1000"),
        option("output-tokens", None, "Output tokens asked for.", flag=False, default="256"),
        option("timeout", "t", "Seconds that the caller gives it.", flag=False),
        option("place", "p", "The place of the entry host.", flag=False, default=""),
        option("live", description="Ask the engines for their load; else they count as idle."),
        option("inventory", "i", "An inventory file, in place of the one in force.", flag=False),
        option("rules", "r", "A rules file, in place of the ones in force.", flag=False),
    ]

    async def report(self) -> Explanation:
        """Explain the request."""
        question = Question(
            customer=self.option("customer") or "",
            model=self.option("model"),
            service=self.option("service"),
            method=self.option("method"),
            prompt_tokens=count(self, "prompt-tokens") if self.option("model") else 0,
            output_tokens=count(self, "output-tokens") if self.option("model") else 0,
            timeout=None if self.option("timeout") is None else seconds(self, "timeout"),
            place=self.option("place"),
        )
        snapshot = await self._snapshot()
        loads = await self._loads(snapshot) if self.option("live") else ()
        return explain(snapshot, question, loads=loads)

    async def _loads(self, snapshot: Snapshot) -> tuple[EngineLoad, ...]:
        return await read_loads(snapshot.inventory.targets, self.engine)

    async def _snapshot(self) -> Snapshot:
        inventory, rules = self.option("inventory"), self.option("rules")
        both = inventory and rules
        snapshot = EMPTY if both else await self.revisions.head()
        if inventory:
            loaded = keep_evacuations(load_inventory(Path(inventory)), of=snapshot.inventory)
            snapshot = replace(snapshot, inventory=loaded)
        if rules:
            snapshot = replace(snapshot, rules=load_rules(Path(rules)))
        return snapshot
