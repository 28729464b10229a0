#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 need. The stand-ins are Python files that need the standard library only, so
# they are only checked to compile; the daemons are built as in the deploy file, unless that has been done.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B -c '
import glob
for path in ["review/lab2.py", "review/lab3.py"] + glob.glob("review/1[1-5]/case.py"):
    compile(open(path).read(), path, "exec")
'
test -x target/release/dotterelhoistd || cargo build --release
