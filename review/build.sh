#!/bin/sh
# Builds the stand-ins of the cases: Python of the standard library alone, so it only compiles them. Needs no network.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
