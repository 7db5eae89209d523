#!/bin/bash
# Builds what the scripts of the cases 6 to 10 start beside the gateway: stand-ins in Python, which need no more than
# the environment that the deploy file's build leaves.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review/standins2
.venv/bin/python -c 'import review.standins2.world'
