"""Inventories and rules are checked, compared and stored without loss."""

from contextlib import suppress
from hashlib import sha256
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from azureswitch.core import PlaceName, TargetName
from azureswitch.exceptions import (
    DanglingReferenceError,
    DuplicateSettingError,
    InvalidSettingError,
    SettingsError,
    SnapshotTooLargeError,
    SnapshotUnreadableError,
    UnknownSettingError,
    UnknownTargetError,
)
from azureswitch.inventory import (
    RULES,
    Difference,
    DifferenceKind,
    FieldDifference,
    Inventory,
    Objective,
    Place,
    Rules,
    Snapshot,
    TargetRole,
    decode,
    diff,
    encode,
    load_inventory,
    load_rules,
    parse_inventory,
    parse_rules,
    set_role,
    show_inventory,
    show_rules,
)
from bench.inventory import SIZE_BOUND, fleet

EXAMPLES = Path(__file__).parents[2] / "examples"
KEY = sha256(b"key").hexdigest()
GOOD = f"""
[place a]
region = x
[service lm]
kind = model
[service app]
kind = plain
[engine e1]
service = lm
place = a
address = 127.0.0.1:1
models = m
memory = 10
checks_fence = no
[target t1]
service = app
place = a
address = 127.0.0.1:2
[customer c1]
key_hash = {KEY}
"""
ENGINE = "\n[engine {}]\nservice = {}\nplace = {}\naddress = 127.0.0.1:{}\nmodels = m\nmemory = 1\n"
ENGINE += "checks_fence = yes\n"


class TestLoadInventory:
    """`load_inventory` and `parse_inventory`."""

    @pytest.mark.parametrize("name", ["cascade", "ruamjai"])
    def test_examples(self, name: str) -> None:
        """Both examples hold the sizes of the two deployments and the demo's keys."""
        inventory = load_inventory(EXAMPLES / name / "inventory.ini")
        engines = [target for target in inventory.targets if target.models]
        assert (len(inventory.places), len(engines), len(inventory.targets)) == (3, 20, 23)
        assert len({place.region for place in inventory.places}) == 1
        assert len(inventory.customers) == 10
        for customer in inventory.customers:
            assert customer.key_hash == sha256(f"demo-key-{customer.name}".encode()).hexdigest()

    @pytest.mark.parametrize(
        ("extra", "error", "section", "key"),
        [
            (ENGINE.format("e2", "lm", "b", 3), DanglingReferenceError, "engine e2", "place"),
            (ENGINE.format("e2", "ml", "a", 3), DanglingReferenceError, "engine e2", "service"),
            (ENGINE.format("e2", "app", "a", 3), InvalidSettingError, "engine e2", "service"),
            (ENGINE.format("e2", "lm", "a", 1), DuplicateSettingError, "engine e2", "address"),
            (ENGINE.format("e2", "lm", "a", 0), InvalidSettingError, "engine e2", "address"),
            (
                "[service two]\nkind = model\n" + ENGINE.format("e2", "two", "a", 3),
                InvalidSettingError,
                "engine e2",
                "models",
            ),
            (ENGINE.format("t1", "lm", "a", 3), DuplicateSettingError, "target t1", ""),
            (ENGINE.format("e1", "lm", "a", 3), DuplicateSettingError, "engine e1", ""),
            ("[customer c2]\nkey_hash = 00\n", InvalidSettingError, "customer c2", "key_hash"),
            (
                f"[customer c2]\nkey_hash = {KEY}\n",
                DuplicateSettingError,
                "customer c2",
                "key_hash",
            ),
            ("[customers c2]\n", UnknownSettingError, "customers c2", ""),
        ],
    )
    def test_refusals(self, extra: str, error: type[SettingsError], section: str, key: str) -> None:
        """A reference to nothing, a value that stands twice and the like are named."""
        with pytest.raises(error) as caught:
            parse_inventory((GOOD + extra).encode(), file="inventory.ini")
        assert (caught.value.section, caught.value.key) == (section, key)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.lists(st.sampled_from(GOOD.strip().splitlines()) | st.text(max_size=8), max_size=30).map(
            "\n".join
        )
    )
    def test_fuzz(self, text: str) -> None:
        """Any lines give an inventory that shows and reads the same, or a typed error."""
        with suppress(SettingsError):
            inventory = parse_inventory(text.encode(errors="replace"), file="fuzz.ini")
            assert parse_inventory(show_inventory(inventory).encode(), file="") == inventory


class TestLoadRules:
    """`load_rules` and `parse_rules`."""

    def test_examples(self) -> None:
        """The two deployments weigh the two measures differently."""
        assert load_rules(EXAMPLES / "cascade/rules.ini").objective is Objective.SHORT_SLOWDOWN
        assert load_rules(EXAMPLES / "ruamjai/rules.ini").objective is Objective.FIRST_TOKEN_ALL

    def test_defaults(self) -> None:
        """An empty file gives the defaults."""
        assert parse_rules(b"", file="rules.ini") == Rules()

    @pytest.mark.parametrize(
        ("line", "key"),
        [
            ("objective = fast", "objective"),
            ("short_deadline = 0", "short_deadline"),
            ("long_deadline = 8 d", "long_deadline"),
            ("body_limit = 1", "body_limit"),
            ("longest_prompt = 100", "longest_prompt"),
        ],
    )
    def test_refusals(self, line: str, key: str) -> None:
        """A rule out of its range is named."""
        with pytest.raises(InvalidSettingError) as caught:
            parse_rules(f"[rules]\n{line}\n".encode(), file="rules.ini")
        assert caught.value.key == key

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(
            st.sampled_from(["[rules]", "objective = first_token_all", "long_prompt = 1_0"])
            | st.builds(
                "{} = {}".format,
                st.sampled_from([setting.key for setting in RULES.settings]),
                st.from_regex(r"\A[0-9]{1,9}(\.[0-9]{1,3})? ?(s|ms|min|h|d)?\Z"),
            ),
            max_size=6,
        )
    )
    def test_fuzz(self, lines: list[str]) -> None:
        """Any rules that are accepted show and read the same."""
        with suppress(SettingsError):
            rules = parse_rules("\n".join(["[rules]", *lines]).encode(), file="fuzz.ini")
            assert parse_rules(show_rules(rules).encode(), file="") == rules


class TestShow:
    """`show_inventory` and `show_rules`."""

    @pytest.mark.parametrize("name", ["cascade", "ruamjai"])
    def test_reads_back(self, name: str) -> None:
        """What is shown reads back the same."""
        inventory = load_inventory(EXAMPLES / name / "inventory.ini")
        rules = load_rules(EXAMPLES / name / "rules.ini")
        assert parse_inventory(show_inventory(inventory).encode(), file="") == inventory
        assert parse_rules(show_rules(rules).encode(), file="") == rules


class TestCodec:
    """`encode` and `decode`."""

    def test_two_years_from_now(self) -> None:
        """600 engines and 380 customers stay far below the store's megabyte."""
        inventory = fleet(engines=600, customers=380)
        body = encode(inventory=inventory, rules=Rules())
        assert len(body) < SIZE_BOUND
        assert decode(body, revision=7) == Snapshot(revision=7, inventory=inventory, rules=Rules())

    def test_order_of_entries(self) -> None:
        """Equal configurations have equal bodies, in whatever order they are listed."""
        inventory = fleet(engines=20, customers=10)
        turned = replace(inventory, targets=inventory.targets[::-1])
        assert encode(inventory=turned, rules=Rules()) == encode(inventory=inventory, rules=Rules())

    def test_entries_that_do_not_fit(self) -> None:
        """A body whose targets name nothing is no configuration, whoever stored it."""
        inventory = replace(fleet(engines=2, customers=0), services=())
        body = encode(inventory=inventory, rules=Rules())
        with pytest.raises(SnapshotUnreadableError):
            decode(body, revision=1)

    def test_too_large(self) -> None:
        """A body that the store could not hold is refused before it is sent."""
        with pytest.raises(SnapshotTooLargeError):
            encode(inventory=fleet(engines=0, customers=30_000), rules=Rules())

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=64), st.integers(0, 200), st.integers(0, 255))
    def test_fuzz(self, noise: bytes, index: int, value: int) -> None:
        """Noise and damaged bodies give a typed error or a snapshot and nothing else."""
        body = bytearray(encode(inventory=fleet(engines=2, customers=2), rules=Rules()))
        body[index % len(body)] = value
        for damaged in (noise, bytes(body), bytes(body[:index])):
            with suppress(SnapshotUnreadableError):
                assert decode(damaged, revision=1).revision == 1


class TestDiff:
    """`diff`."""

    def test_added_changed_removed(self) -> None:
        """Each entry that differs is listed once, with the fields that changed."""
        old = Snapshot(revision=1, inventory=fleet(engines=2, customers=1), rules=Rules())
        target = TargetName("lm-001")
        drained = set_role(old.inventory, target=target, role=TargetRole.DRAINING)
        place = Place(name=PlaceName("new"), region="r0")
        new = Snapshot(
            revision=2,
            inventory=replace(drained, places=(*drained.places, place), customers=()),
            rules=replace(old.rules, short_deadline=5.5),
        )
        role = FieldDifference(key="role", old="serving", new="draining")
        deadline = FieldDifference(key="short_deadline", old="60", new="5.5")
        assert diff(old, old) == ()
        assert diff(old, new) == (
            Difference(kind=DifferenceKind.REMOVED, section="customer customer-000"),
            Difference(kind=DifferenceKind.CHANGED, section="engine lm-001", fields=(role,)),
            Difference(kind=DifferenceKind.ADDED, section="place new"),
            Difference(kind=DifferenceKind.CHANGED, section="rules", fields=(deadline,)),
        )


class TestSetRole:
    """`set_role`."""

    def test_unknown_target(self) -> None:
        """A target that is not listed cannot be drained."""
        with pytest.raises(UnknownTargetError):
            set_role(Inventory(), target=TargetName("lm-1"), role=TargetRole.DRAINING)
