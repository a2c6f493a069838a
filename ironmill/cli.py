"""A proxy for long-lived TCP connections.

Usage:
  ironmill serve [--config=FILE]
  ironmill check-config [--config=FILE]
  ironmill version
  ironmill (-h | --help)

Options:
  --config=FILE  The configuration as JSON; without it, the file that PROXY_CONFIG names.
  -h --help      Show this text.

serve runs one proxy in the foreground, check-config says whether serve would accept the
configuration. A configuration that is not fit for use ends either with status 2.
"""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import Sequence

from docopt import docopt

from ironmill import __version__
from ironmill.config import load
from ironmill.net.proxy import Proxy
from stonegap.settings import MalformedError


def main(argv: Sequence[str] | None = None) -> int:
    """Run the sub-command; the exit status."""
    words = docopt(__doc__, argv=list(sys.argv[1:] if argv is None else argv))
    if words["version"]:
        print(f"ironmill {__version__}")
        return 0
    try:
        config = load(os.environ, words["--config"])
    except MalformedError as error:
        print(f"ironmill: {error}", file=sys.stderr)
        return 2
    if words["check-config"]:
        print(f"ironmill: the configuration of {config.name} is fit for use")
        return 0
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format=f"%(asctime)s.%(msecs)03d {config.name} %(message)s",
        datefmt="%H:%M:%S",
    )
    try:
        proxy = Proxy(config)
    except OSError as error:
        print(f"ironmill: listen: {error}", file=sys.stderr)
        return 2
    proxy.serve()
    return 0
