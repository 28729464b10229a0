#!/usr/bin/env bash
# Runs a case five times, and once without its disruption: five.sh N
cd "$(dirname "$0")/$1" || exit 2
TROUBLE=0 ./run.sh > /dev/null 2>&1; echo "case $1 without the disruption: exit $?"
for i in 1 2 3 4 5; do ./run.sh > /dev/null 2>&1; echo "case $1 run $i: exit $?"; done
