"""The program ``azureswitch-standin-target``."""

import asyncio
import sys
from signal import SIGTERM
from time import time

import msgspec
from cleo.helpers import option

from azureswitch.programs import EXIT_OK, EXIT_USAGE, Program, run_program
from azureswitch.settings import Integer, Text
from azureswitch_standins.target._http import TargetStandin
from azureswitch_standins.target._model import TargetPlan
from azureswitch_standins.target._registration import Registration
from azureswitch_standins.target._runs import NoteKind, Notes

SERVE_ON = 3.0
"""Seconds for which a target that leaves serves on once the store knows; the platform says 2."""

LAST = 8.0
"""Seconds after SIGTERM at which it ends whatever runs."""

IDLE_CHECK = 0.05

EXIT_CRASHED = 1
"""Exit code of a target that was cold and got more requests than it bears."""


class TargetProgram(Program):
    """Serves one target until SIGTERM, and then until it has said so and all is answered."""

    name = "azureswitch-standin-target"
    description = "Stand-in for a target in the form of the users' platform."
    options = [  # noqa: RUF012 - cleo's own way to declare them.
        option("plan", description="What it is, in JSON.", flag=False),
        option("listen", description="IP:PORT to listen on.", flag=False),
        option("seed", description="Seeds what goes wrong, else 1.", flag=False),
    ]

    def work(self) -> int:
        """Serve."""
        text = self.value("plan", Text())
        try:
            plan = msgspec.json.decode(text, type=TargetPlan)
        except msgspec.MsgspecError as error:
            print(f"{self.name}: {error}", file=sys.stderr)
            return EXIT_USAGE
        listen = self.value("listen", Text())
        return asyncio.run(_serve(plan, listen, self.value("seed", Integer(low=0), default=1)))


async def _serve(plan: TargetPlan, listen: str, seed: int) -> int:
    """Serve until SIGTERM or a crash, and return the exit code."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(SIGTERM, stop.set)
    born = int(time() * 1_000.0)
    notes = Notes(target=plan.name, born=born)
    standin = TargetStandin(plan=plan, notes=notes, address=listen, seed=seed, born=born)
    await standin.start()
    notes.write(NoteKind.STARTED, address=standin.address)
    registration = Registration(
        plan=plan,
        address=plan.address or standin.address,
        born=born,
        sequence=lambda: standin.sequence,
        entered=lambda leaving: notes.write(NoteKind.DRAINING if leaving else NoteKind.LISTED),
        cold=(lambda: standin.cold_left) if plan.cold_seconds else None,
    )
    beats = loop.create_task(registration.run())
    crash = loop.create_task(standin.crashed.wait())
    asked = loop.create_task(stop.wait())
    await asyncio.wait((crash, asked), return_when=asyncio.FIRST_COMPLETED)
    if crash.done():
        # Its entry stays in the store, like that of a target that was killed.
        return EXIT_CRASHED
    crash.cancel()
    end = loop.time() + LAST
    await registration.leave()
    standin.leave()
    await asyncio.sleep(SERVE_ON)
    while standin.busy and loop.time() < end:
        await asyncio.sleep(IDLE_CHECK)
    beats.cancel()
    await registration.remove()
    return EXIT_OK


def main() -> int:
    """Serve a target, and return the exit code."""
    return run_program(TargetProgram())
