"""The pages point at what exists."""

from pathlib import Path
from re import MULTILINE, findall, sub
from shlex import split

import pytest

from azureswitch.commands import build

ROOT = Path(__file__).parents[2]
PAGES = sorted((*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")))


def anchors(page: Path) -> set[str]:
    """Return the anchors of a page's headings."""
    headings = findall(r"^#+ (.+)$", page.read_text(), flags=MULTILINE)
    return {sub(r"[^a-z0-9 -]", "", heading.lower()).replace(" ", "-") for heading in headings}


class TestLinks:
    """Links between pages."""

    @pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
    def test_resolve(self, page: Path) -> None:
        """Every relative link leads to a file, and its anchor to a heading there."""
        for link in findall(r"\]\(([^)\s]+)\)", page.read_text()):
            if "://" in link:
                continue
            file, _, anchor = link.partition("#")
            target = page.parent / file if file else page
            assert target.exists(), link
            assert not anchor or anchor in anchors(target), link


def command_lines() -> list[str]:
    """Return every command line of the operators' program that the pages show."""
    text = "\n".join(page.read_text() for page in PAGES)
    lines = findall(r"^\$ (?:\.venv/bin/)?azureswitch (.+)$", text, flags=MULTILINE)
    return sorted(set(lines))


class TestCommandLines:
    """Command lines that the pages show."""

    @pytest.mark.parametrize("line", command_lines())
    def test_known(self, line: str) -> None:
        """Every command is there and knows the options that it is shown with."""
        application = build()
        words = split(line.partition(" > ")[0])
        names = (name for name in application.all() if words[: name.count(" ") + 1] == name.split())
        command = application.get(next(names))
        command.merge_application_definition()
        for word in words:
            if word.startswith("--"):
                assert command.definition.has_option(word[2:]), word
        shown = len(words) - len(command.name.split())
        assert shown >= command.definition.required_argument_count - 1


class TestSecurity:
    """The page on threats."""

    @pytest.mark.parametrize(
        "reference",
        sorted(set(findall(r"`(tests/[^`]+)`", (ROOT / "docs/security.md").read_text()))),
    )
    def test_tests_exist(self, reference: str) -> None:
        """Every test that the page names is there."""
        file, *names = reference.split("::")
        content = (ROOT / file).read_text()
        for name in names:
            assert f"class {name}" in content or f"def {name}(" in content, name
