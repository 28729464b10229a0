#!/usr/bin/env bash
# The stand-ins of the third review's scripts are Python files that need no build; checks that they can run.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/release/dotterelhoistd
python3 -m py_compile review/lab3.py
rm -rf review/__pycache__
