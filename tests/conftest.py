"""What all tests need before the first of them runs."""

import pytest
from hypothesis import strategies as st


@pytest.fixture(scope="session", autouse=True)
def _characters() -> None:
    """Have the table of all characters built.

    On a fresh checkout the first text that is drawn has it built, which takes 3 s and more on a
    busy machine.  That is no part of drawing an example, which is watched for being slow.
    """
    st.text().validate()
