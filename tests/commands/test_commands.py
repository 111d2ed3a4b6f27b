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
from azureswitch.commands._status import FOREIGN_ROWS, TARGET_ROWS
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

    @pytest.mark.parametrize(
        "body", [None, b"{noise", b"[]", b'{"host":' + b"[" * 5_000, status_body(0, ALL)[:-1]]
    )
    def test_silent(self, pair: Pair, body: bytes | None) -> None:
        """An address without a host that answers is named."""
        dana, _ = pair
        dana.entries["127.0.0.1:2"] = FakeEntry(body=body)
        dana.entries["127.0.0.1:3"] = FakeEntry(body=status_body(1, ALL))
        assert dana.run("status") is ExitCode.ATTENTION
        assert "Nothing answers at 127.0.0.1:2." in dana.printed

    def test_no_members(self, pair: Pair) -> None:
        """A host that knows no host, itself included, is shown all the same."""
        dana, _ = pair
        for port, host in ((2, 0), (3, 1)):
            body = {**json.decode(status_body(host, {host: 1})), "members": []}
            dana.entries[f"127.0.0.1:{port}"] = FakeEntry(body=json.encode(body))
        assert dana.run("status") is ExitCode.ATTENTION
        assert dana.json("status")["apart"] == ["entry-0", "entry-1"]

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
        assert "1970-01-01T00:00:00.001Z" in lines["lm-03"]
        assert lines["lm-03"].endswith("50%     empty")
        dana.silent = {"lm-03"}
        assert "draining" in dana.accept("status --engines")


def told(host: int, **parts: object) -> FakeEntry:
    """Return a host that tells more than its hosts and engines."""
    return FakeEntry(body=json.encode({**json.decode(status_body(host, {0: 1, 1: 1})), **parts}))


def shown_target(name: str, started: object = 1_000, **more: object) -> dict[str, object]:
    """Return a target as a host tells it."""
    return {"name": name, "place": "p-1", "state": "serving", "started": started, **more}


def shown_foreign(*names: object, unnamed: object = 0, **more: object) -> dict[str, object]:
    """Return the foreign entries of a collection as a host tells them."""
    entries = [{"name": name, "version": 7, "fault": "field", "detail": "odd"} for name in names]
    total = len(names) + unnamed if isinstance(unnamed, int) else 0
    return {
        "collection": "servers",
        "total": total,
        "unnamed": unnamed,
        "entries": entries,
        **more,
    }


class TestTargetStarts:
    """Targets and their starts in ``status``."""

    @pytest.mark.parametrize(
        ("started", "shown"),
        [
            (0, "not told"),
            (1_000, "1970-01-01T00:00:01.000Z"),
            (1_700_000_000_123, "2023-11-14T22:13:20.123Z"),
            (2**63 - 1, "9223372036854775807 ms"),
        ],
    )
    def test_start(self, pair: Pair, started: int, shown: str) -> None:
        """A start is shown as a time, whatever number is told."""
        dana, _ = pair
        targets = [shown_target("i-1", started)]
        dana.entries.update(
            {f"127.0.0.1:{p}": told(h, targets=targets, foreign=[]) for p, h in ((2, 0), (3, 1))}
        )
        printed = dana.accept("status")
        (line,) = [line for line in printed.splitlines() if line.startswith("i-1 ")]
        assert line.split(None, 3) == ["i-1", "p-1", "serving", shown]
        assert "engines in force" not in printed
        assert "No foreign entries" in printed

    @pytest.mark.parametrize(
        ("first", "second", "started", "apart"),
        [
            (1_000, 1_000, 1_000, False),
            (1_000, 2_000, 2_000, True),
            (2_000, 1_000, 2_000, True),
            (0, 2_000, 2_000, True),
        ],
    )
    def test_apart(self, pair: Pair, first: int, second: int, started: int, apart: bool) -> None:
        """Of two hosts that know different starts the later one is shown, and that they differ."""
        dana, _ = pair
        dana.entries["127.0.0.1:2"] = told(0, targets=[shown_target("i-1", first)])
        dana.entries["127.0.0.1:3"] = told(1, targets=[shown_target("i-1", second)])
        (target,) = dana.json("status")["targets"]
        assert (target["started"], target["apart"]) == (started, apart)
        assert dana.accept("status").count("hosts know other starts") == apart

    @pytest.mark.parametrize("count", [0, 1, TARGET_ROWS, TARGET_ROWS + 1, 700])
    def test_bounded(self, pair: Pair, count: int) -> None:
        """The targets that started last are shown, and how many more there are."""
        dana, _ = pair
        targets = [shown_target(f"i-{number:04}", number + 1) for number in range(count)]
        dana.entries["127.0.0.1:2"] = told(0, targets=targets, foreign=[])
        dana.entries["127.0.0.1:3"] = told(1, targets=targets, foreign=[])
        printed = dana.accept("status")
        names = [line.split()[0] for line in printed.splitlines() if line.startswith("i-")]
        assert names == [f"i-{number:04}" for number in reversed(range(count))][:TARGET_ROWS]
        more = count - TARGET_ROWS
        assert (f"{more} more targets" in printed) is (more > 0)
        assert len(dana.json("status")["targets"]) == count


class TestForeignEntries:
    """Foreign entries of the store in ``status``."""

    @pytest.mark.parametrize(
        ("first", "second", "total", "unnamed", "listed"),
        [
            ([], [], 0, 0, []),
            ([shown_foreign("j-1")], [], 1, 0, ["j-1"]),
            ([shown_foreign("j-1")], [shown_foreign("j-1")], 1, 0, ["j-1"]),
            ([shown_foreign("j-1")], [shown_foreign("j-2")], 2, 0, ["j-1", "j-2"]),
            ([shown_foreign(unnamed=3)], [shown_foreign("j-1", unnamed=2)], 4, 3, ["j-1"]),
            ([shown_foreign("j-1", total=900)], [], 900, 0, ["j-1"]),
        ],
    )
    def test_merged(
        self,
        pair: Pair,
        first: list[object],
        second: list[object],
        total: int,
        unnamed: int,
        listed: list[str],
    ) -> None:
        """What any host knows is shown once, with totals, and needs attention."""
        dana, _ = pair
        dana.entries["127.0.0.1:2"] = told(0, targets=[], foreign=first)
        dana.entries["127.0.0.1:3"] = told(1, targets=[], foreign=second)
        found = dana.json("status")["foreign"]
        assert sum(part["total"] for part in found) == total
        assert sum(part["unnamed"] for part in found) == unnamed
        assert [entry["name"] for part in found for entry in part["entries"]] == listed
        assert dana.run("status") is (ExitCode.ATTENTION if total else ExitCode.DONE)
        printed = dana.printed
        rows = [line.split() for line in printed.splitlines() if line.startswith("servers")]
        assert [row[1:] for row in rows if row[1].startswith("j-")] == [
            [name, "7", "field", "odd"] for name in listed
        ]
        assert (f"{total} foreign entries in the store" in printed) is (total > 0)
        assert (f"({unnamed} without a name)" in printed) is (unnamed > 0)

    @pytest.mark.parametrize("count", [FOREIGN_ROWS, FOREIGN_ROWS + 1, 2_000])
    def test_bounded(self, pair: Pair, count: int) -> None:
        """However many a host tells of, few are shown."""
        dana, _ = pair
        names = [f"j-{number:04}" for number in range(count)]
        for port, host in ((2, 0), (3, 1)):
            dana.entries[f"127.0.0.1:{port}"] = told(host, foreign=[shown_foreign(*names)])
        assert dana.run("status") is ExitCode.ATTENTION
        printed = dana.printed
        assert sum("j-" in line for line in printed.splitlines()) == FOREIGN_ROWS
        more = count - FOREIGN_ROWS
        assert (f"{more} more foreign entries" in printed) is (more > 0)

    def test_hostile(self, pair: Pair) -> None:
        """What a foreign entry quotes cannot steer the reader's terminal."""
        dana, _ = pair
        for port, host in ((2, 0), (3, 1)):
            dana.entries[f"127.0.0.1:{port}"] = told(host, foreign=[shown_foreign("\x1b[2J\n9")])
        assert dana.run("status") is ExitCode.ATTENTION
        assert "\\x1b[2J\\n9" in dana.printed


def shown_evacuation(place: str, **more: object) -> dict[str, object]:
    """Return an evacuated failure domain as a host tells it."""
    return {"place": place, "since": 1_000, "running": 0, "empty": 2_000, **more}


class TestEvacuations:
    """Evacuated failure domains in ``status``."""

    @pytest.mark.parametrize(
        ("first", "second", "running", "empty", "inconsistent"),
        [
            ({}, {}, 0, 2_000, False),
            ({}, {"empty": 5_000}, 0, 5_000, False),
            ({"running": 2, "empty": 0}, {}, 2, 0, False),
            ({"running": 2, "empty": 0}, {"running": 1, "empty": 0}, 3, 0, False),
            ({}, None, 0, 2_000, True),
        ],
        ids=["empty", "empty later", "one runs", "both run", "one does not know"],
    )
    def test_merged(
        self,
        pair: Pair,
        first: dict[str, object],
        second: dict[str, object] | None,
        running: int,
        empty: int,
        inconsistent: bool,
    ) -> None:
        """Guards against a domain that is shown as empty while any host has attempts there."""
        dana, _ = pair
        told_here = [shown_evacuation("p-1", author="dana", reason="power", **first)]
        told_there = [] if second is None else [shown_evacuation("p-1", **second)]
        dana.entries["127.0.0.1:2"] = told(0, evacuations=told_here)
        dana.entries["127.0.0.1:3"] = told(1, evacuations=told_there)
        (shown,) = dana.json("status")["evacuations"]
        assert (shown["place"], shown["author"], shown["reason"]) == ("p-1", "dana", "power")
        assert (shown["running"], shown["empty"], shown["inconsistent"]) == (
            running,
            empty,
            inconsistent,
        )
        printed = dana.accept("status")
        (line,) = [line for line in printed.splitlines() if line.startswith("p-1 ")]
        assert "1970-01-01T00:00:01.000Z" in line
        assert ("not known to all" in line) is inconsistent

    def test_none(self, pair: Pair) -> None:
        """Guards against a table of evacuations where there are none."""
        dana, _ = pair
        for port, host in ((2, 0), (3, 1)):
            dana.entries[f"127.0.0.1:{port}"] = told(host, evacuations=[])
        assert dana.json("status")["evacuations"] == []
        assert "EVACUATED" not in dana.accept("status")


class TestParts:
    """Parts of a host's page that are absent or cannot be read."""

    @pytest.mark.parametrize(
        ("parts", "missing"),
        [
            ({}, ["targets", "foreign"]),
            ({"targets": None, "foreign": None}, ["targets", "foreign"]),
            ({"targets": []}, ["foreign"]),
            ({"foreign": []}, ["targets"]),
        ],
    )
    def test_absent(self, pair: Pair, parts: dict[str, object], missing: list[str]) -> None:
        """A host of an older version that does not tell a part is named, and all else is shown."""
        dana, _ = pair
        dana.entries["127.0.0.1:2"] = told(0, **parts)
        dana.entries["127.0.0.1:3"] = told(1, targets=[shown_target("i-1")], foreign=[])
        report = dana.json("status")
        assert [(part["host"], part["part"]) for part in report["untold"]] == [
            ("entry-0", part) for part in missing
        ]
        assert report["unread"] == []
        printed = dana.accept("status")
        assert "i-1" in printed
        assert printed.count("entry-0 does not tell") == len(missing)

    def test_none_tells(self, pair: Pair) -> None:
        """Where no host tells them, the engines are shown and no part is missed."""
        dana, _ = pair
        dana.entries.update({"127.0.0.1:2": told(0), "127.0.0.1:3": told(1)})
        printed = dana.accept("status")
        assert "1 engines in force: lm-01." in printed
        assert "does not tell" not in printed

    @pytest.mark.parametrize(
        ("part", "value"),
        [
            ("targets", 7),
            ("targets", {}),
            ("targets", [7]),
            ("targets", [{"name": "i-1"}]),
            ("targets", [shown_target("i-1", "1000")]),
            ("targets", [shown_target("i-1", 1.5)]),
            ("targets", [shown_target("i-1", -1)]),
            ("targets", [shown_target("i-1", place=None)]),
            ("foreign", "none"),
            ("foreign", [{}]),
            ("foreign", [shown_foreign(7)]),
            ("foreign", [shown_foreign(unnamed="3")]),
            ("foreign", [shown_foreign(total=-1)]),
            ("foreign", [shown_foreign(entries=None)]),
        ],
    )
    def test_unread(self, pair: Pair, part: str, value: object) -> None:
        """A part of another form is told by its host and what is wrong; all else is shown."""
        dana, _ = pair
        good: dict[str, object] = {"targets": [shown_target("i-1")], "foreign": []}
        dana.entries["127.0.0.1:2"] = told(0, **{**good, part: value})
        dana.entries["127.0.0.1:3"] = told(1, **good)
        assert dana.run("status") is ExitCode.ATTENTION
        printed = dana.printed
        assert f"status_part_unreadable: The part {part!r} of entry-0" in printed
        assert "i-1" in printed
        report = dana.json("status")
        assert [(error["host"], error["part"]) for error in report["unread"]] == [("entry-0", part)]
        assert report["asked"] == ["entry-0", "entry-1"]


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
