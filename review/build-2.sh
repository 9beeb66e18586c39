#!/bin/sh
# Builds what the cases review/6 to review/10 start beside the gateway: stand-ins in Python, by the standard library alone.
# The build of the deploy file has made .venv before.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/kit2
