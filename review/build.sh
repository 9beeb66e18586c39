#!/bin/sh
# The stand-ins are Python of the standard library: building them is compiling them, with the deploy file's interpreter.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
