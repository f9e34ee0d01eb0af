#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
# Python's -B: no compiled files beside the shared stand-ins.
timeout -k 5 112 python3 -B case.py &
pid=$!
# A run that is ended early ends what it started too.
trap 'kill "$pid" 2>/dev/null; wait "$pid"; exit 2' INT TERM
wait "$pid"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
