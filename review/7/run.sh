#!/bin/bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
export PYTHONPATH=.
.venv/bin/python -c 'import review.standins2.upgrade, review.standins2.world' || exit 2
exec .venv/bin/python review/7/case.py
