"""The pages point at what exists."""

from pathlib import Path
from re import findall, sub

import pytest

ROOT = Path(__file__).parents[2]
PAGES = sorted((*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")))


def anchors(page: Path) -> set[str]:
    """Return the anchors of a page's headings."""
    headings = findall(r"^#+ (.+)$", page.read_text(), flags=8)
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
