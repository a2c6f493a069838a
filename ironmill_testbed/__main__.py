"""The testbed of ironmill. It uses loopback only, and every command ends by itself.

Usage:
  ironmill_testbed demo [--stay] [--clients=N] [--settings=FILE]
  ironmill_testbed call HOST:PORT [--token=TOKEN] [--class=NAME] [--tls=FILE] [--certificate=PATH]
  ironmill_testbed certificates DIR
  ironmill_testbed measure NAME [--quick] [--poller=NAME] [--program=DIR]
  ironmill_testbed capacity [--check] [--plots]
  ironmill_testbed emulate [--hosts=N]
  ironmill_testbed hollow --settings=FILE [--first=N] [--proxies=N]
  ironmill_testbed floor KIND --target=HOST:PORT
  ironmill_testbed (-h | --help)

Options:
  --stay         Keep the demonstration up until it is interrupted.
  --clients=N    How many clients the demonstration has [default: 60].
  --settings=FILE  Operators' settings: of the demonstration's proxy, or of all hollow proxies.
  --token=TOKEN  What the one client of call shows; - reads it from standard input.
  --class=NAME   What it asks for [default: index-sync].
  --tls=FILE     It speaks TLS, and trusts the authorities in this file.
  --certificate=PATH  It shows the certificate PATH.crt, whose key is PATH.key.
  --quick        Smaller sizes: done within a minute.
  --poller=NAME  What the proxy waits with: epoll or poll [default: epoll].
  --program=DIR  Measure the proxy of another checkout, found in this folder.
  --check        Only say whether docs/CAPACITY.md is what data and formulas give; status 1 if not.
  --plots        Also draw the plots beside it.
  --hosts=N      How many servers are emulated [default: 6].
  --first=N      The number of the first hollow proxy [default: 0].
  --proxies=N    How many hollow proxies there are in this process [default: 140].
  --target=HOST:PORT  Where a floor sends all lines on to.
  -h --help      Show this text.

Measurements: core, identity, membership, scale. Each prints a table, and as its last line one JSON object.
"""

from __future__ import annotations

import signal
import sys
from collections.abc import Sequence
from pathlib import Path

from docopt import docopt


def main(argv: Sequence[str] | None = None) -> int:
    """Runs a sub-command; returns its exit status."""
    arguments = docopt(__doc__, argv=list(sys.argv[1:] if argv is None else argv))
    # SIGTERM becomes an exception, so that context managers end the child processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    # Imported where used: the process of the emulated dependencies stays small.
    if arguments["emulate"]:
        from ironmill_testbed import emulate

        return emulate.run(int(arguments["--hosts"]))
    if arguments["hollow"]:
        from ironmill_testbed.faults import simulated_proxies

        return simulated_proxies.run(
            arguments["--settings"], int(arguments["--first"]), int(arguments["--proxies"])
        )
    if arguments["floor"]:
        from ironmill_testbed import floors

        return floors.run(arguments["KIND"], arguments["--target"])
    if arguments["demo"]:
        from ironmill_testbed import demo

        settings = Path(arguments["--settings"]).resolve() if arguments["--settings"] else None
        return demo.run(int(arguments["--clients"]), arguments["--stay"], settings)
    if arguments["call"]:
        from ironmill_testbed import call

        return call.run(
            arguments["HOST:PORT"],
            arguments["--token"] or "",
            arguments["--class"],
            arguments["--tls"] or "",
            arguments["--certificate"] or "",
        )
    if arguments["certificates"]:
        from ironmill_testbed import certificates

        return certificates.write_all(Path(arguments["DIR"]))
    if arguments["capacity"]:
        from ironmill_testbed.capacity import page

        return page.run(checking=arguments["--check"], plots=arguments["--plots"])
    from ironmill_testbed import measure

    program = Path(arguments["--program"]).resolve() if arguments["--program"] else None
    return measure.run(arguments["NAME"], arguments["--quick"], arguments["--poller"], program)


if __name__ == "__main__":
    sys.exit(main())
