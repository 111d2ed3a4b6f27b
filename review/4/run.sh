#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption: the other program writes nothing.
# FORM=text has it write a text of the same size, which takes the hosts no time.
# WRITES=1 has it write once; the default is once each HeartbeatMs, as engines do.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=../standins-2 PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
