#!/bin/bash
# Plays case 1. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it plays without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
export PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1
timeout --kill-after=5 110 .venv/bin/python review/1/case.py &
player=$!
trap 'kill "$player"' TERM INT
wait "$player"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
