#!/bin/sh
# The stand-ins need Python 3.11 and its standard library alone; this checks that they compile.
cd "$(dirname "$0")/.." || exit 1
exec python3 -c '
import pathlib, sys
for path in pathlib.Path("review").rglob("*.py"):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
'
