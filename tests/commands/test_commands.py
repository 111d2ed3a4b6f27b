"""The operators' program, against a store that fails and operators that race."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from io import StringIO
from pathlib import Path
from typing import Any

import pytest
from cleo.testers.application_tester import ApplicationTester
from msgspec import json

from azureswitch.client import HttpAnswer, HttpHead
from azureswitch.commands import Connections, ExitCode, build
from azureswitch.coordination.configuration import Changes
from azureswitch.exceptions import (
    HttpNotSentError,
    StoreOutcomeUnknownError,
    TargetRefusedError,
)
from azureswitch.inventory import Inventory, Rules, Target, encode, parse_inventory
from azureswitch.ports import LoadReport, StoredObject
from azureswitch_standins.store import StoreFake, StoreFaults, StoreModel

ROOT = Path(__file__).parents[2]
CASCADE = ROOT / "examples/cascade"
HEAD_KIND = "configuration-head"


class DisturbedStore(StoreFake):
    """A store where something happens when the head is about to be replaced."""

    disturb: Callable[[], None] | None = None

    async def update(self, *, kind: str, name: str, value: bytes, version: int) -> StoredObject:
        """Replace an object."""
        if kind == HEAD_KIND and self.disturb is not None:
            disturb, self.disturb = self.disturb, None
            disturb()
        return await super().update(kind=kind, name=name, value=value, version=version)


@dataclass
class FakeEntry:
    """The operations address of an entry host."""

    body: bytes | None

    async def request(self, **_: Any) -> HttpAnswer:
        """Answer every request alike."""
        if self.body is None:
            raise HttpNotSentError(address="")
        return HttpAnswer(head=HttpHead(status=200, headers=()), body=self.body)

    def close(self) -> None:
        """Close nothing."""


@dataclass
class FakeEngine:
    """An engine that has much to do, or does not answer."""

    target: Target
    silent: bool
    waiting_tokens: int

    async def load(self) -> LoadReport:
        """Return the load report."""
        if self.silent:
            raise TargetRefusedError(target=self.target.name)
        return LoadReport(
            target=self.target.name,
            started=1,
            sequence=1,
            running=0,
            waiting=0,
            waiting_tokens=self.waiting_tokens,
            urgent_tokens=self.waiting_tokens,
            memory_used=self.target.memory // 2,
            memory_total=self.target.memory,
            models=self.target.models,
        )


class Operator:
    """One operator at a terminal, with a way to the store of its own."""

    def __init__(self, directory: Path, model: StoreModel, name: str) -> None:
        self.store = DisturbedStore(model=model)
        self.entries: dict[str, FakeEntry] = {}
        self.silent: set[str] = set()
        self.waiting_tokens = 0
        connections: Any = Connections(
            store=lambda _: self.store,
            operations=self.entries.__getitem__,
            engine=lambda target: FakeEngine(
                target, target.name in self.silent, self.waiting_tokens
            ),
            patience=0.15,
        )
        self._tester = ApplicationTester(build(connections=connections))
        self._settings = directory / f"{name}.ini"
        self._settings.write_text(
            f"[operator]\nname = {name}\n[platform]\nstore = 127.0.0.1:1\n"
            "[entries]\noperations = 127.0.0.1:2, 127.0.0.1:3\n"
        )
        self._directory = directory

    def run(self, line: str, inputs: str | None = None) -> ExitCode:
        """Run a command line."""
        return ExitCode(self._tester.execute(f"{line} -s {self._settings}", inputs=inputs))

    def accept(self, line: str) -> str:
        """Run a command line that must work, and return what it prints."""
        assert self.run(line) is ExitCode.DONE, self.printed
        return self.printed

    def json(self, line: str) -> Any:
        """Run a command line and return its JSON."""
        self.run(f"{line} --json")
        return json.decode(self.printed)

    def rules(self, line: str) -> Path:
        """Write a rules file of one line."""
        path = self._directory / f"{line.replace(' ', '')}.ini"
        path.write_text(f"[rules]\n{line}\n")
        return path

    @property
    def printed(self) -> str:
        """What the last command printed, errors included."""
        return str(self._tester.io.fetch_output() + self._tester.io.fetch_error())


@pytest.fixture
def pair(tmp_path: Path) -> tuple[Operator, Operator]:
    """Two operators before one store, whose first revision is the inventory of cascade."""
    model = StoreModel()
    dana, erin = Operator(tmp_path, model, "dana"), Operator(tmp_path, model, "erin")
    dana.accept(f"inventory apply {CASCADE}/inventory.ini --base 0")
    return dana, erin


Pair = tuple[Operator, Operator]


class TestChanges:
    """``inventory`` and ``rules``."""

    def test_life_of_a_configuration(self, pair: Pair) -> None:
        """A file is compared, applied, shown as it was, and stands in the audit trail."""
        dana, erin = pair
        rules = dana.rules("short_deadline = 7 s")
        assert "[rules]" in dana.accept(f"rules diff {rules}")
        assert "Revision 2 by dana" in dana.accept(f"rules apply {rules} --base 1")
        assert "Nothing to change" in erin.accept(f"rules apply {rules} --base 2")
        shown = erin.accept("inventory show")
        assert shown.startswith("# revision 2\n")
        file = (CASCADE / "inventory.ini").read_bytes()
        assert parse_inventory(shown.encode(), file="") == parse_inventory(file, file="")
        assert "short_deadline = 60" in erin.accept("rules show --revision 1")
        history = erin.json("rules history --verify")
        assert history["verified"] == 2
        (row,) = history["rows"]
        assert (row["entry"]["author"], row["entry"]["base"]) == ("dana", 1)
        assert "[customer astoria] added" in erin.accept("inventory history")

    @pytest.mark.parametrize("when", ["before", "between"])
    def test_operators_racing(self, pair: Pair, when: str) -> None:
        """The later of two gets a conflict that shows the other's change, and writes nothing."""
        dana, erin = pair
        theirs, mine = dana.rules("plain_deadline = 9 s"), erin.rules("plain_deadline = 8 s")

        def win() -> None:
            dana.accept(f"rules apply {theirs} --base 1")

        if when == "before":
            win()
        else:
            # Commands run an event loop each, so the rival needs a thread of its own.
            erin.store.disturb = _in_thread(win)
        assert erin.run(f"rules apply {mine} --base 1") is ExitCode.CONFLICT
        printed = erin.printed
        assert "revision_conflict" in printed
        assert "dana" in printed
        assert "plain_deadline  10   9" in printed
        assert "plain_deadline = 9" in erin.accept("rules show")
        assert len(erin.json("rules history")["rows"]) == 1
        erin.accept(f"rules apply {mine} --base 2")

    @pytest.mark.parametrize("lose_writes", [False, True])
    @pytest.mark.parametrize("lose_after", [0, 1, 2])
    def test_lost_answer(self, pair: Pair, lose_after: int, lose_writes: bool) -> None:
        """Whichever write's answer is lost, the change is accepted once."""
        dana, _ = pair
        dana.store.faults = StoreFaults(
            lose_after=lose_after, lose_answers=1, lose_writes=lose_writes
        )
        dana.accept(f"rules apply {dana.rules('long_prompt = 9')} --base 1")
        assert dana.json("rules show")["revision"] == 2

    @pytest.mark.parametrize("again", ["alone", "after a change by another"])
    def test_outcome_unknown(self, pair: Pair, again: str) -> None:
        """A change whose answer stays lost is found by its id, also under later changes."""
        dana, erin = pair
        update = dana.store.update

        async def cut_off(**arguments: Any) -> StoredObject:
            await update(**arguments)
            dana.store.faults = StoreFaults(down=True)
            raise StoreOutcomeUnknownError(key=HEAD_KIND)

        dana.store.update = cut_off  # type: ignore[method-assign]
        line = f"rules apply {dana.rules('long_prompt = 9')} --base 1"
        assert dana.run(line) is ExitCode.OUTCOME_UNKNOWN
        change = dana.printed.split()[-1].rstrip(".")
        assert dana.run(f"{line} --change {change}") is ExitCode.OUTCOME_UNKNOWN
        dana.store.faults = StoreFaults()
        if again != "alone":
            erin.accept(f"rules apply {erin.rules('long_prompt = 8')} --base 2")
        assert dana.json(f"{line} --change {change}")["revision"] == 2
        assert len(erin.json("rules history")["rows"]) == (1 if again == "alone" else 2)

    def test_drain(self, pair: Pair) -> None:
        """A target is drained and taken back by changes of the configuration."""
        dana, erin = pair
        assert "draining" in dana.accept("drain lm-03")
        assert "role = draining" in erin.accept("inventory show")
        assert "Nothing to change" in erin.accept("drain lm-03 --base 2")
        assert "serving" in erin.accept("drain lm-03 --undo --author Erin")
        assert erin.json("inventory history -l 1")["rows"][0]["entry"]["author"] == "Erin"

    @pytest.mark.parametrize(
        ("line", "code", "error"),
        [
            ("inventory check absent.ini", ExitCode.FILE_REFUSED, "settings_file_missing"),
            (f"rules check {CASCADE}/inventory.ini", ExitCode.FILE_REFUSED, "settings_unknown"),
            (f"inventory apply {CASCADE}/inventory.ini", ExitCode.USAGE, "option_invalid"),
            (f"rules apply {CASCADE}/rules.ini --base x", ExitCode.USAGE, "option_invalid"),
            (f"rules apply {CASCADE}/rules.ini --base 9", ExitCode.NOT_FOUND, "revision_not_found"),
            ("drain lm-99", ExitCode.NOT_FOUND, "target_not_found"),
            ("drain lm-01 --change x", ExitCode.USAGE, "option_invalid"),
            ("inventory show --revision 3", ExitCode.NOT_FOUND, "revision_not_found"),
            ("explain -c nobody", ExitCode.NOT_FOUND, "customer_not_found"),
            ("status", ExitCode.UNAVAILABLE, "entry_unreachable"),
        ],
    )
    def test_refusals(self, pair: Pair, line: str, code: ExitCode, error: str) -> None:
        """Each refusal has its exit code, and the same name for people and programs."""
        dana, _ = pair
        dana.entries.update({f"127.0.0.1:{port}": FakeEntry(body=None) for port in (2, 3)})
        assert dana.run(line) is code
        assert dana.printed.startswith(f"{error}: ")
        failure = dana.json(line)
        assert (failure["error"], failure["ran"]) == (error, "not_run")

    def test_hostile_author(self, pair: Pair) -> None:
        """A name that others wrote into the trail cannot steer the reader's terminal."""
        dana, erin = pair
        changes = Changes(store=erin.store)
        body = encode(inventory=Inventory(), rules=Rules())
        asyncio.run(changes.propose(base=1, body=body, author="\x1b[2J\n9", change="x"))
        assert "\\x1b[2J\\n9" in dana.accept("inventory history")

    def test_fault_inside(self, pair: Pair) -> None:
        """A fault of the program itself is not taken for a wrong command line."""
        dana, _ = pair
        dana.store.get = None  # type: ignore[method-assign,assignment]
        assert dana.run("rules show") is ExitCode.INTERNAL

    @pytest.mark.parametrize(
        "line", ["rules show", "inventory history", f"rules apply {CASCADE}/rules.ini --base 1"]
    )
    def test_store_down(self, pair: Pair, line: str) -> None:
        """Without the store nothing is done, and the operator is told so."""
        dana, _ = pair
        dana.store.faults = StoreFaults(down=True)
        assert dana.run(line) is ExitCode.UNAVAILABLE
        assert dana.printed.startswith("store_unavailable: ")


def _in_thread(work: Callable[[], None]) -> Callable[[], None]:
    def run() -> None:
        with ThreadPoolExecutor(max_workers=1) as pool:
            pool.submit(work).result()

    return run


def status_body(host: int, revisions: dict[int, int]) -> bytes:
    """Return the status of a host that knows some with the given revisions in force."""
    members = [
        {
            "host": f"entry-{index}",
            "place": "puget-a",
            "address": "127.0.0.1:4",
            "status": "leaving" if index == 2 else "alive",
            "revision": revision,
            "started": 1,
        }
        for index, revision in revisions.items()
    ]
    body = {"host": f"entry-{host}", "place": "puget-a", "revision": revisions[host]}
    rest = {"leaving": False, "open_calls": 0, "members": members, "engines": ["lm-01"]}
    return json.encode({**body, **rest})


ALL = {0: 1, 1: 1, 2: 0}


class TestStatus:
    """``status``."""

    @pytest.mark.parametrize(
        ("first", "second", "down", "lagging", "apart"),
        [
            (ALL, ALL, False, [], []),
            ({0: 1, 1: 0, 2: 1}, ALL, False, [], []),
            (ALL, {0: 1, 1: 0}, False, ["entry-1"], []),
            ({0: 0, 1: 0}, {0: 0, 1: 0}, False, ["entry-0", "entry-1"], []),
            ({0: 3, 1: 3}, {0: 3, 1: 3}, True, [], []),
            ({0: 3, 1: 3}, {0: 3, 1: 2}, True, ["entry-1"], []),
            ({0: 3, 1: 3}, {0: 3, 1: 3}, False, [], []),
            ({0: 1}, {1: 1}, False, [], ["entry-0", "entry-1"]),
        ],
    )
    def test_hosts(
        self,
        pair: Pair,
        first: dict[int, int],
        second: dict[int, int],
        down: bool,
        lagging: list[str],
        apart: list[str],
    ) -> None:
        """Hosts that lag or do not know each other are marked, with the store and without it."""
        dana, _ = pair
        dana.entries["127.0.0.1:2"] = FakeEntry(body=status_body(0, first))
        dana.entries["127.0.0.1:3"] = FakeEntry(body=status_body(1, second))
        dana.store.faults = StoreFaults(down=down)
        report = dana.json("status")
        behind = not down and first[0] > 1
        assert (report["asked"], report["silent"]) == (["entry-0", "entry-1"], [])
        assert (report["lagging"], report["apart"]) == (lagging, apart)
        assert (report["head"], report["store_behind"]) == (None if down else 1, behind)
        wrong = bool(lagging or apart or behind)
        assert dana.run("status") is (ExitCode.ATTENTION if wrong else ExitCode.DONE)
        assert dana.printed.count("lagging") == len(lagging)

    def test_unreadable_revision(self, pair: Pair) -> None:
        """A host that cannot read an accepted revision is named."""
        dana, _ = pair
        first, second = (status_body(host, {0: 1, 1: 1}) for host in (0, 1))
        dana.entries["127.0.0.1:2"] = FakeEntry(body=first[:-1] + b',"unreadable":2}')
        dana.entries["127.0.0.1:3"] = FakeEntry(body=second)
        assert dana.run("status") is ExitCode.ATTENTION
        assert dana.printed.count("cannot read the newest") == 1

    @pytest.mark.parametrize("body", [None, b"{noise", b"[]", status_body(0, ALL)[:-1]])
    def test_silent(self, pair: Pair, body: bytes | None) -> None:
        """An address without a host that answers is named."""
        dana, _ = pair
        dana.entries["127.0.0.1:2"] = FakeEntry(body=body)
        dana.entries["127.0.0.1:3"] = FakeEntry(body=status_body(1, ALL))
        assert dana.run("status") is ExitCode.ATTENTION
        assert "Nothing answers at 127.0.0.1:2." in dana.printed

    def test_engines(self, pair: Pair) -> None:
        """Engines are shown with their load; one that should serve and is silent is marked."""
        dana, _ = pair
        body = status_body(0, {0: 2})
        dana.entries.update({f"127.0.0.1:{port}": FakeEntry(body=body) for port in (2, 3)})
        dana.accept("drain lm-03")
        dana.silent = {"lm-02"}
        assert dana.run("status --engines") is ExitCode.ATTENTION
        lines = {line.split()[0]: line for line in dana.printed.splitlines() if "lm-" in line}
        assert lines["lm-02"].endswith("does not answer")
        assert lines["lm-03"].endswith("50%     empty")
        dana.silent = {"lm-03"}
        assert "draining" in dana.accept("status --engines")


class TestExplain:
    """``explain``."""

    @pytest.mark.parametrize(
        ("silent", "waiting_tokens", "error", "sent"),
        [
            ([], 0, "", True),
            (["lm-01"], 0, "", True),
            ([], 10_000_000, "", False),
            ([f"lm-{number:02}" for number in range(1, 21)], 0, "no_target", False),
        ],
    )
    def test_live(
        self, pair: Pair, silent: list[str], waiting_tokens: int, error: str, sent: bool
    ) -> None:
        """With the engines' load the answer is that of the moment."""
        dana, _ = pair
        dana.silent, dana.waiting_tokens = set(silent), waiting_tokens
        report = dana.json("explain -c rainier -m dishline-lm --live")
        assert (report["live"], report["error"], bool(report["targets"])) == (True, error, sent)
        assert not set(report["targets"]) & set(silent)

    @pytest.mark.parametrize(
        ("options", "error", "targets", "step"),
        [
            ("-m dishline-lm", "", 1, "30 s, which is that of the rules"),
            ("-m dishline-lm --prompt-tokens 1_000_000", "", 3, "1800 s"),
            ("-m dishline-lm --prompt-tokens 1_000_000 -t 2", "deadline_unreachable", 0, "2 s"),
            ("-m dishline-lm --prompt-tokens 2_000_000", "prompt_too_long", 0, "1100000"),
            ("-m other", "model_not_found", 0, "other"),
            ("--service scheduling", "", 1, "claimed before it is sent"),
            ("--service scheduling --method GET", "", 1, "10 s"),
            ("--service billing", "service_not_found", 0, "billing"),
        ],
    )
    def test_requests(self, pair: Pair, options: str, error: str, targets: int, step: str) -> None:
        """The reducer that hosts run says what would become of a request."""
        dana, _ = pair
        dana.run(f"rules apply {CASCADE}/rules.ini --base 1")
        line = f"explain -c rainier -p puget-a {options}"
        report = dana.json(line)
        assert (report["error"], len(report["targets"])) == (error, targets)
        assert any(step in text for text in report["steps"])
        assert dana.run(line) is (ExitCode.ATTENTION if error else ExitCode.DONE)


class TestKeysAndPages:
    """``hash-key``, ``reference``, and the pages that quote them."""

    def test_hash_key(self, pair: Pair) -> None:
        """A key is hashed as the inventory holds it, and a new one differs each time."""
        dana, _ = pair
        dana.run("hash-key", inputs="demo-key-rainier\n")
        assert dana.printed.strip() in (CASCADE / "inventory.ini").read_text()
        assert dana.json("hash-key --new")["key"] != dana.json("hash-key --new")["key"]
        assert dana.run("hash-key", inputs="\n") is ExitCode.USAGE

    @pytest.mark.parametrize(
        ("line", "page"),
        [("reference", "operators/settings.md"), ("reference --errors", "errors.md")],
    )
    def test_made_pages(self, pair: Pair, line: str, page: str) -> None:
        """The reference pages are what the code that they describe makes."""
        made = pair[0].accept(line)
        assert made == (ROOT / "docs" / page).read_text(), f"azureswitch {line} > docs/{page}"

    def test_worked_example(self) -> None:
        """The inventory of the operators' page is a good one."""
        page = (ROOT / "docs/operators/inventory.md").read_text()
        example = page.split("```ini\n")[1].split("```")[0]
        assert len(parse_inventory(example.encode(), file="").targets) == 3

    def test_register(self, monkeypatch: Any, capsys: pytest.CaptureFixture[str]) -> None:
        """The converter of the operators' page prints sections that the inventory takes."""
        page = (ROOT / "docs/operators/inventory.md").read_text()
        converter = page.split("```python\n")[1].split("```")[0]
        register = (
            "asset,room,address,models,memory,fencing\ngpu-9,hall-2,10.4.2.9:1,dish-lm,9,no\n"
        )
        monkeypatch.setattr("sys.stdin", StringIO(register))
        exec(converter)
        rest = "[place hall-2]\nregion = tacoma\n[service lm]\nkind = model\n"
        inventory = parse_inventory((rest + capsys.readouterr().out).encode(), file="")
        assert inventory.targets[0].address == "10.4.2.9:1"
