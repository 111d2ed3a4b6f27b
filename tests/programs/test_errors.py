"""Failures declare their fields as data classes do, and take them by keyword."""

import pytest

from azureswitch.exceptions import (
    AzureswitchError,
    NoTargetError,
    PeerRefusedError,
    RefusedError,
)


class TestFields:
    """The fields of `AzureswitchError` and what is below it."""

    @pytest.mark.parametrize(
        ("kind", "given", "fields"),
        [
            pytest.param(AzureswitchError, {}, {}, id="none"),
            pytest.param(RefusedError, {}, {"seconds": 1.0}, id="a default"),
            pytest.param(NoTargetError, {"seconds": 0.5}, {"seconds": 0.5}, id="of its base"),
            pytest.param(
                PeerRefusedError,
                {"peer": "h1", "reason": "peer_busy"},
                {"peer": "h1", "reason": "peer_busy"},
                id="its own beside its base's",
            ),
        ],
    )
    def test_fields(
        self, kind: type[AzureswitchError], given: dict[str, object], fields: dict[str, object]
    ) -> None:
        """They are read as attributes, listed, and shown."""
        error = kind(**given)
        assert error.fields == fields
        assert all(getattr(error, name) == value for name, value in fields.items())
        assert all(f"{name}={value!r}" in repr(error) for name, value in fields.items())

    @pytest.mark.parametrize(
        "given",
        [
            pytest.param({"peer": "h1"}, id="one is missing"),
            pytest.param({"peer": "h1", "reason": "a", "other": 1}, id="one is not known"),
        ],
    )
    def test_wrong(self, given: dict[str, object]) -> None:
        """What a type does not declare, or lacks, is a mistake of the program."""
        with pytest.raises(TypeError):
            PeerRefusedError(**given)
