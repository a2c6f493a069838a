#!/bin/sh
# Makes .venv from requirements.txt. A stamp, written last, names what it was made from: an environment
# that was left half-made, or made for other requirements or another interpreter, is made anew.
set -eu
cd "$(dirname "$0")/.."
want="$(python3 -c 'import sys; print(sys.version)') $(cksum < requirements.txt)"
if [ "$(cat .venv/complete 2>/dev/null || true)" != "$want" ] \
    || ! .venv/bin/python -c 'import docopt, greenlet, h11, msgspec' 2>/dev/null; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/pip install -q --disable-pip-version-check -r requirements.txt
    printf '%s\n' "$want" > .venv/complete
fi
# Where nothing may be written at the start, sources are compiled anew each time, a third of it. By hash: the
# times of files change when a tree is copied.
.venv/bin/python -m compileall -q --invalidation-mode checked-hash ironmill
