"""The command lines of the daemon, the stand-ins and the load tool."""

import sys
from collections.abc import Callable

import pytest
from cleo.helpers import option

from azureswitch.entry import main as entry
from azureswitch.programs import EXIT_USAGE, Program, run_program
from azureswitch.settings import Integer
from azureswitch_load import main as load
from azureswitch_load.demo.__main__ import main as demo
from azureswitch_standins.engine import CostModel, EngineSettings
from azureswitch_standins.engine import main as engine
from azureswitch_standins.engine._program import EngineProgram
from azureswitch_standins.hosts import main as hosts
from azureswitch_standins.service import main as service
from azureswitch_standins.store import main as store


class Recorder(Program):
    """Notes what it was given."""

    name = "recorder"
    options = [option("number", flag=False)]  # noqa: RUF012 - cleo's own way to declare them.

    def __init__(self) -> None:
        self.numbers: list[int] = []
        super().__init__()

    def work(self) -> int:
        """Note a number and return an exit code of its own."""
        self.numbers.append(self.value("number", Integer(low=1), default=7))
        return 3


class TestRunProgram:
    """`run_program`."""

    @pytest.mark.parametrize(
        ("arguments", "code", "numbers"),
        [
            ([], 3, [7]),
            (["--number", "5"], 3, [5]),
            (["--number=5"], 3, [5]),
            (["--number", "0"], EXIT_USAGE, []),
            (["--number", ""], EXIT_USAGE, []),
            (["--number"], EXIT_USAGE, []),
            (["--numbers", "5"], EXIT_USAGE, []),
            (["5"], EXIT_USAGE, []),
        ],
    )
    def test_values(
        self,
        capsys: pytest.CaptureFixture[str],
        arguments: list[str],
        code: int,
        numbers: list[int],
    ) -> None:
        """A value arrives by its type, or the program does nothing and says why."""
        program = Recorder()
        assert run_program(program, arguments) == code
        assert program.numbers == numbers
        assert capsys.readouterr().err.startswith("recorder: ") == (code == EXIT_USAGE)

    def test_failure_is_not_hidden(self) -> None:
        """A fault of the program itself keeps its traceback."""
        program = Recorder()
        program.numbers = None  # type: ignore[assignment]
        with pytest.raises(AttributeError):
            run_program(program, [])


class TestPrograms:
    """Each program of the project."""

    @pytest.mark.parametrize(
        ("main", "arguments", "named"),
        [
            (entry, [], "azureswitch-entry: --settings"),
            (load, ["run", "--rate", "fast"], "azureswitch-load: --rate is 'fast'"),
            (demo, ["--deployment", "nowhere"], "azureswitch-demo: --deployment"),
            (engine, ["--attention=-1"], "azureswitch-standin-engine: --attention"),
            (hosts, ["--lag", "soon"], "azureswitch-standin-hosts: --lag"),
            (service, ["--port", "70000"], "azureswitch-standin-service: --port"),
            (store, ["--writes", "0"], "azureswitch-standin-store: --writes"),
        ],
    )
    def test_wrong_values(
        self,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
        main: Callable[[], int],
        arguments: list[str],
        named: str,
    ) -> None:
        """A wrong value ends it with code 2 and a sentence that names program and option."""
        monkeypatch.setattr(sys, "argv", ["program", *arguments])
        assert main() == EXIT_USAGE
        assert capsys.readouterr().err.startswith(named)

    def test_engine_settings(self) -> None:
        """The stand-in engine is what its command line says."""
        made: list[EngineSettings] = []

        class Engine(EngineProgram):
            def work(self) -> int:
                made.append(self.settings)
                return 0

        line = "--name e1 --models base,large --memory 400000 --attention 1e-9 --ignores-fence"
        assert run_program(Engine(), line.split()) == 0
        assert made == [
            EngineSettings(
                name="e1",
                models=("base", "large"),
                memory=400_000,
                checks_fence=False,
                cost=CostModel(attention=1e-9),
            )
        ]
