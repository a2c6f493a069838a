#!/bin/sh
# Makes what the cases 6 to 10 start: the environment of the deploy file, and one with the project's extra
# `hosted` for the parts that are on by setting (case 9). The stand-ins need nothing else.
set -eu
cd "$(dirname "$0")/.."
sh deploy/build.sh
python=build/review-2/bin/python
if ! $python -c 'import ironmill, jwt, cryptography, lxml, orjson, structlog' 2>/dev/null; then
    rm -rf build/review-2
    python3 -m venv build/review-2
    $python -m pip install -q --disable-pip-version-check -e '.[hosted]' \
        || echo "build-2: the extra is not to be had, so case 9 cannot run (it ends with 2)" >&2
fi
