"""``evacuate`` and ``restore``, and what other commands make of an evacuated place."""

from pathlib import Path
from typing import Any
from zlib import decompress

import pytest
from msgspec import json
from msgspec.structs import replace

from azureswitch.commands import ExitCode
from azureswitch.commands._evacuate import new_change, time_of
from azureswitch.exceptions import (
    AzureswitchError,
    ServicesLeftEmptyError,
    StoreOutcomeUnknownError,
)
from azureswitch.inventory import (
    Evacuation,
    Rules,
    encode,
    load_inventory,
    parse_inventory,
    show_inventory,
)
from azureswitch.ports import StoredObject
from azureswitch_standins.store import StoreFaults, StoreModel
from tests.commands.test_commands import CASCADE, FakeEntry, Operator, status_body

PLACE = "puget-a"
OTHERS = ("puget-b", "puget-c")


@pytest.fixture
def pair(tmp_path: Path) -> tuple[Operator, Operator]:
    """Two operators before one store, whose first revision is the inventory of cascade."""
    model = StoreModel()
    dana, erin = Operator(tmp_path, model, "dana"), Operator(tmp_path, model, "erin")
    dana.accept(f"inventory apply {CASCADE}/inventory.ini --base 0")
    return dana, erin


Pair = tuple[Operator, Operator]


def evacuated(operator: Operator) -> dict[str, dict[str, object]]:
    """Return the evacuations of the newest revision, by place."""
    places = operator.json("inventory show")["value"]["places"]
    return {place["name"]: place["evacuation"] for place in places if "evacuation" in place}


class TestEvacuate:
    """``evacuate`` and ``restore``."""

    def test_life(self, pair: Pair) -> None:
        """A place is evacuated and restored by revisions with an author and an audit trail."""
        dana, erin = pair
        line = f"evacuate {PLACE} --reason 'chiller 4' --until 2030-01-31T19:00+01:00"
        printed = dana.accept(line)
        assert "Revision 2 by dana is accepted" in printed
        assert "by dana, until 2030-01-31T18:00:00.000Z: chiller 4" in printed
        evacuation = evacuated(erin)[PLACE]
        assert (evacuation["author"], evacuation["reason"]) == ("dana", "chiller 4")
        assert evacuation["until"] == 1_896_112_800_000
        assert "Revision 3 by erin is accepted" in erin.accept(f"restore {PLACE}")
        assert evacuated(dana) == {}
        rows = dana.json("inventory history -l 2")["rows"]
        assert [row["entry"]["author"] for row in rows] == ["erin", "dana"]
        (field,) = rows[1]["differences"][0]["fields"]
        assert (field["key"], field["old"]) == ("evacuation", "none")

    @pytest.mark.parametrize(
        ("before", "line", "code", "error"),
        [
            ((), "evacuate nowhere", ExitCode.NOT_FOUND, "place_not_found"),
            ((), "restore nowhere", ExitCode.NOT_FOUND, "place_not_found"),
            ((), f"restore {PLACE}", ExitCode.REFUSED, "place_in_use"),
            ((PLACE,), f"evacuate {PLACE}", ExitCode.CONFLICT, "place_evacuated"),
            (OTHERS, f"evacuate {PLACE}", ExitCode.REFUSED, "services_left_empty"),
            ((), f"evacuate {PLACE} --until 2030-01-31T18:00", ExitCode.USAGE, "option_invalid"),
            ((), f"evacuate {PLACE} --until soon", ExitCode.USAGE, "option_invalid"),
            ((), f"evacuate {PLACE} --until 2001-01-01T00:00Z", ExitCode.USAGE, "option_invalid"),
            ((), f"evacuate {PLACE} --until ''", ExitCode.USAGE, "option_invalid"),
            ((), f"evacuate {PLACE} --reason '\x1b[2J'", ExitCode.USAGE, "option_invalid"),
            ((), f"evacuate {PLACE} --change x --base 1", ExitCode.USAGE, "option_invalid"),
            ((), f"evacuate {PLACE} --base 9", ExitCode.NOT_FOUND, "revision_not_found"),
        ],
    )
    def test_refusals(
        self, pair: Pair, before: tuple[str, ...], line: str, code: ExitCode, error: str
    ) -> None:
        """What does not fit is refused by name, and writes nothing."""
        dana, erin = pair
        for place in before:
            dana.accept(f"evacuate {place}")
        known = evacuated(erin)
        assert erin.run(line) is code
        assert erin.printed.startswith(f"{error}: ")
        failure = erin.json(line)
        assert (failure["error"], failure["ran"]) == (error, "not_run")
        assert evacuated(erin) == known

    def test_services_named(self, pair: Pair) -> None:
        """The refusal names the services that would be left without a target; force goes on."""
        dana, _ = pair
        for place in OTHERS:
            dana.accept(f"evacuate {place}")
        services = set(dana.json(f"evacuate {PLACE}")["details"]["services"])
        assert services == {service["name"] for service in served(dana)}
        dana.accept(f"evacuate {PLACE} --force")
        assert set(evacuated(dana)) == {PLACE, *OTHERS}

    def test_draining_targets(self, pair: Pair) -> None:
        """A draining target in another place does not keep a service going."""
        dana, _ = pair
        targets = dana.json("inventory show")["value"]["targets"]
        for target in targets:
            if target["place"] != PLACE:
                dana.accept(f"drain {target['name']}")
        assert dana.run(f"evacuate {PLACE}") is ExitCode.REFUSED

    def test_again(self, pair: Pair) -> None:
        """Who evacuates a place again changes the reason and keeps the time since when."""
        dana, _ = pair
        dana.accept(f"evacuate {PLACE} --reason first")
        since = evacuated(dana)[PLACE]["since"]
        dana.accept(f"evacuate {PLACE} --reason second")
        assert (evacuated(dana)[PLACE]["since"], evacuated(dana)[PLACE]["reason"]) == (
            since,
            "second",
        )
        assert "Nothing to change" in dana.accept(f"evacuate {PLACE} --reason second")

    def test_race(self, pair: Pair) -> None:
        """Of two operators with one base the later one is told of the other's change."""
        dana, erin = pair
        dana.accept(f"evacuate {PLACE} --base 1")
        assert erin.run(f"evacuate {OTHERS[0]} --base 1") is ExitCode.CONFLICT
        assert "revision_conflict" in erin.printed
        assert set(evacuated(erin)) == {PLACE}

    @pytest.mark.parametrize("again", ["alone", "after a change by another"])
    def test_outcome_unknown(self, pair: Pair, again: str) -> None:
        """A try whose outcome is not known is found by its id, and is accepted once."""
        dana, erin = pair
        update = dana.store.update

        async def cut_off(**arguments: Any) -> StoredObject:
            await update(**arguments)
            dana.store.faults = StoreFaults(down=True)
            raise StoreOutcomeUnknownError(key="configuration-head")

        dana.store.update = cut_off  # type: ignore[method-assign]
        line = f"evacuate {PLACE} --base 1"
        assert dana.run(line) is ExitCode.OUTCOME_UNKNOWN
        change = dana.printed.split()[-1].rstrip(".")
        dana.store.faults = StoreFaults()
        if again != "alone":
            erin.accept(f"evacuate {OTHERS[0]} --base 2")
        assert dana.json(f"{line} --change {change}")["revision"] == 2
        assert len(erin.json("inventory history")["rows"]) == (2 if again == "alone" else 3)

    def test_time_of_change(self) -> None:
        """The id of a change holds the time, so that each try makes the same configuration."""
        change = new_change()
        assert time_of(change) > 1_700_000_000_000
        assert time_of(type(change)(change.hex)) == time_of(change)


def served(operator: Operator) -> list[dict[str, str]]:
    """Return the services that have a target."""
    inventory = operator.json("inventory show")["value"]
    used = {target["service"] for target in inventory["targets"]}
    return [service for service in inventory["services"] if service["name"] in used]


class TestFiles:
    """Inventory files while a place is evacuated."""

    def test_apply_keeps(self, pair: Pair, tmp_path: Path) -> None:
        """A new inventory file does not end an evacuation, and shows no difference from it."""
        dana, erin = pair
        dana.accept(f"evacuate {PLACE} --reason 'chiller 4'")
        assert "Nothing differs" in erin.accept(f"inventory diff {CASCADE}/inventory.ini")
        file = tmp_path / "new.ini"
        file.write_text((CASCADE / "inventory.ini").read_text() + "\n[place new]\nregion = r\n")
        printed = erin.accept(f"inventory apply {file} --base 2")
        assert "[place new]" in printed
        assert PLACE not in printed
        assert evacuated(erin)[PLACE]["reason"] == "chiller 4"

    def test_shown_file(self, pair: Pair, tmp_path: Path) -> None:
        """A file that was printed during an evacuation says so, and does not evacuate again."""
        dana, erin = pair
        dana.accept(f"evacuate {PLACE} --reason 'chiller 4'")
        shown = erin.accept("inventory show")
        assert "\n# evacuated since " in shown
        file = tmp_path / "shown.ini"
        file.write_text(shown)
        dana.accept(f"restore {PLACE}")
        assert "Nothing differs" in erin.accept(f"inventory diff {file}")

    @pytest.mark.parametrize("reason", ["a\n[place evil]\nregion = r", "\x1b[2J"])
    def test_hostile_reason(self, reason: str) -> None:
        """A reason that others wrote cannot add lines to a file or steer a terminal."""
        plain = load_inventory(CASCADE / "inventory.ini")
        evacuation = Evacuation(since=1, author="x", reason=reason)
        places = tuple(replace(place, evacuation=evacuation) for place in plain.places)
        shown = show_inventory(replace(plain, places=places))
        assert parse_inventory(shown.encode(), file="") == plain
        assert "\x1b" not in shown


def told(host: int, *evacuations: dict[str, object]) -> FakeEntry:
    """Return a host that tells of evacuations."""
    body = json.decode(status_body(host, {0: 2, 1: 2}))
    return FakeEntry(body=json.encode({**body, "evacuations": evacuations}))


def running(count: object, **more: object) -> dict[str, object]:
    """Return an evacuated place as a host tells it."""
    return {"place": PLACE, "since": 1_000, "running": count, **more}


class TestStatus:
    """Evacuated places in ``status``."""

    @pytest.mark.parametrize(
        ("first", "second", "shown", "empty"),
        [
            ([running(0)], [running(0)], "empty", True),
            (
                [running(0, empty=2_000)],
                [running(0, empty=3_000)],
                "empty since 1970-01-01T00:00:03.000Z",
                True,
            ),
            ([running(2)], [running(1)], "3, by 2 hosts", False),
            ([running(0)], [], "0, by 1 hosts", False),
            ([], [], "not told", False),
        ],
    )
    def test_running(
        self,
        pair: Pair,
        first: list[dict[str, object]],
        second: list[dict[str, object]],
        shown: str,
        empty: bool,
    ) -> None:
        """A place is empty only where every live host says that it runs nothing there."""
        dana, _ = pair
        dana.accept(f"evacuate {PLACE} --reason 'chiller 4'")
        dana.entries["127.0.0.1:2"] = told(0, *first)
        dana.entries["127.0.0.1:3"] = told(1, *second)
        line = evacuation_line(dana.accept("status"))
        assert f"  {shown}" in line
        assert (" empty" in line) is empty
        assert " dana " in line
        assert "chiller 4" in line
        (report,) = dana.json("status")["evacuations"]
        assert (report["idle"], report["accepted"]) == (empty, True)

    def test_restored(self, pair: Pair) -> None:
        """A host that still holds an evacuation which has ended is shown with it."""
        dana, _ = pair
        dana.accept(f"evacuate {PLACE}")
        dana.accept(f"restore {PLACE}")
        dana.entries["127.0.0.1:2"] = told(0, running(0))
        dana.entries["127.0.0.1:3"] = told(1)
        assert dana.run("status") is ExitCode.ATTENTION
        assert "restored, not yet in force on 1 hosts" in evacuation_line(dana.printed)

    def test_without_store(self, pair: Pair) -> None:
        """What hosts tell is shown where the store is down or keeps no revisions."""
        dana, _ = pair
        dana.entries["127.0.0.1:2"] = told(0, running(4, author="zoe", since=5))
        dana.entries["127.0.0.1:3"] = told(1, running(0, since=1))
        dana.store.faults = StoreFaults(down=True)
        (report,) = dana.json("status")["evacuations"]
        assert (report["author"], report["running"], report["accepted"]) == ("zoe", 4, None)

    def test_unreadable(self, pair: Pair) -> None:
        """A part that cannot be read is named, and the rest is shown."""
        dana, _ = pair
        dana.entries["127.0.0.1:2"] = told(0, running("many"))
        dana.entries["127.0.0.1:3"] = told(1)
        assert dana.run("status") is ExitCode.ATTENTION
        assert "status_part_unreadable" in dana.printed


def evacuation_line(printed: str) -> str:
    """Return the line of the evacuated place."""
    lines = printed.splitlines()
    heading = next(index for index, line in enumerate(lines) if line.startswith("EVACUATED"))
    return lines[heading + 2]


class TestExplain:
    """``explain`` while a place is evacuated."""

    @pytest.mark.parametrize("file", ["", f" --inventory {CASCADE}/inventory.ini"])
    def test_named(self, pair: Pair, file: str) -> None:
        """The evacuation that excludes targets is named, also by a file that does not hold it."""
        dana, _ = pair
        dana.accept(f"evacuate {PLACE} --reason 'chiller 4'")
        report = dana.json(f"explain -c rainier -m dishline-lm{file}")
        (step,) = [step for step in report["steps"] if "evacuated" in step]
        assert step.startswith(f"Place {PLACE} is evacuated since ")
        assert "chiller 4" in step

    def test_refused(self, pair: Pair) -> None:
        """A request of which all targets are evacuated would be refused by that name."""
        dana, _ = pair
        for place in (PLACE, *OTHERS):
            dana.accept(f"evacuate {place} --force")
        report = dana.json("explain -c rainier -m dishline-lm")
        assert (report["admitted"], report["error"]) == (False, "service_evacuated")
        assert len([step for step in report["steps"] if " is evacuated since " in step]) == 3

    def test_elsewhere(self, pair: Pair) -> None:
        """A request is sent to the places that are in use."""
        dana, _ = pair
        for place in OTHERS:
            dana.accept(f"evacuate {place}")
        targets = dana.json("inventory show")["value"]["targets"]
        here = {target["name"] for target in targets if target["place"] == PLACE}
        report = dana.json("explain -c rainier -m dishline-lm")
        assert set(report["targets"]) <= here
        assert report["targets"]


class TestErrors:
    """The new failures."""

    def test_fields(self) -> None:
        """The services are a field of the failure, for programs."""
        error: AzureswitchError = ServicesLeftEmptyError(place="p", services=("a", "b"))
        assert error.fields == {"place": "p", "services": ("a", "b")}
        assert "a, b" in error.message


class TestOldBuilds:
    """Hosts of an older version."""

    def test_body_without(self) -> None:
        """An inventory without evacuations has the same stored body as before the field."""
        plain = load_inventory(CASCADE / "inventory.ini")

        assert b"evacuation" not in decompress(encode(inventory=plain, rules=Rules()))
