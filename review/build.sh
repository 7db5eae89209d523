#!/bin/bash
# Compiles the stand-ins that the cases start; run after the build of deploy/balancer.toml, from any folder.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
