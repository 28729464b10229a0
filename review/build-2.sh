#!/bin/sh
# The stand-ins of cases 6 to 10 are Python files that need the standard library only: checks that they compile.
cd "$(dirname "$0")" && exec python3 -B -c '
import glob
for path in glob.glob("lab2.py") + glob.glob("[0-9]*/case.py"):
    compile(open(path).read(), path, "exec")
'
