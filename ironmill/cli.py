"""A proxy for long-lived TCP connections.

Usage:
  ironmill serve [--config=FILE] [--poller=NAME]
  ironmill check-config [--config=FILE]
  ironmill version
  ironmill (-h | --help)

Options:
  --config=FILE  The configuration as JSON; without it, the file that PROXY_CONFIG names.
  --poller=NAME  What waits on the sockets: epoll, or poll, which costs more the more
                 connections stand [default: epoll].
  -h --help      Show this text.

serve runs one proxy in the foreground, check-config says whether serve would accept the
configuration. A configuration that is not fit for use ends either with status 2.
"""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import Mapping, Sequence

from docopt import docopt

from ironmill import __version__
from ironmill.config import Config, load
from ironmill.net.proxy import Proxy
from ironmill.net.signals import Signals
from ironmill.scheduler import POLLERS
from stonegap.settings import MalformedError


def main(argv: Sequence[str] | None = None) -> int:
    """Run the sub-command; the exit status."""
    words = docopt(__doc__, argv=list(sys.argv[1:] if argv is None else argv))
    if words["version"]:
        print(f"ironmill {__version__}")
        return 0
    if words["serve"]:
        # Before the file is read: by default SIGHUP would end the process.
        signals = Signals()
        try:
            return serve(words["--config"], signals, words["--poller"])
        finally:
            signals.close()
    config = read(os.environ, words["--config"])
    if config is None:
        return 2
    print(f"ironmill: the configuration of {config.name} is fit for use")
    return 0


def read(env: Mapping[str, str], path: str | None) -> Config | None:
    """The configuration, or one line on what is wrong with it."""
    try:
        return load(env, path)
    except MalformedError as error:
        print(f"ironmill: {error}", file=sys.stderr)
        return None


def serve(path: str | None, signals: Signals, poller: str) -> int:
    """Run one proxy until it is told to end."""
    if poller not in POLLERS:
        print(f"ironmill: --poller is one of {', '.join(POLLERS)}, not {poller!r}", file=sys.stderr)
        return 2
    config = read(os.environ, path)
    if config is None:
        return 2
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format=f"%(asctime)s.%(msecs)03d {config.name} %(message)s",
        datefmt="%H:%M:%S",
    )
    # At SIGHUP the file's address of discovery holds: what the variable named at the start is gone.
    later = {name: value for name, value in os.environ.items() if name != "PROXY_DISCOVERY"}
    try:
        proxy = Proxy(config, signals, lambda: load(later, path), poller)
    except OSError as error:
        print(f"ironmill: listen: {error}", file=sys.stderr)
        return 2
    proxy.serve()
    return 0
