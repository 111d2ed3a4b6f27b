"""The policy benchmark: real serving reducers over the stand-in engine in virtual time.

Six to nine hosts, each with a serving reducer of its own, send seeded requests to twenty engines.
Load reports, cache events and the hosts' digests reach them late, and some digests never.  The same
arrivals also run under plain policies.  Everything but the processor time is deterministic.
"""

from bench.policy._records import records, results
from bench.policy._simulation import Fault, Result, Run, simulate
from bench.policy._workload import CASCADE, RUAMJAI, SCENARIOS, Scenario

__all__ = [
    "CASCADE",
    "RUAMJAI",
    "SCENARIOS",
    "Fault",
    "Result",
    "Run",
    "Scenario",
    "records",
    "results",
    "simulate",
]
