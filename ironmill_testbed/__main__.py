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
  --settings=FILE  Operators' settings: of the demonstration's proxy, or of all simulated proxies.
  --token=TOKEN  The credential that call presents; - reads it from standard input.
  --class=NAME   The class of its request [default: index-sync].
  --tls=FILE     It uses TLS, and trusts the authorities in this file.
  --certificate=PATH  It presents the certificate PATH.crt, whose key is PATH.key.
  --quick        Smaller sizes: done within a minute.
  --poller=NAME  What the proxy waits with: epoll or poll [default: epoll].
  --program=DIR  Measure the proxy of another checkout, which is in this folder.
  --check        Only say whether docs/CAPACITY.md is what data and formulas give; status 1 if not.
  --plots        Also draw the plots beside it.
  --hosts=N      How many servers are emulated [default: 6].
  --first=N      The number of the first simulated proxy [default: 0].
  --proxies=N    How many simulated proxies there are in this process [default: 140].
  --target=HOST:PORT  Where a floor forwards all lines to.
  -h --help      Show this text.

Measurements: core, identity, membership, scale. Each prints a table, and as its last line one JSON object.
"""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from docopt import docopt


def main(argv: Sequence[str] | None = None) -> int:
    """Runs a sub-command; returns its exit status."""
    arguments = docopt(__doc__, argv=list(sys.argv[1:] if argv is None else argv))
    # SIGTERM becomes an exception, so that context managers end the child processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    command = next(run for name, run in COMMANDS.items() if arguments[name])
    return command(arguments)


# Each command imports only the modules that it uses, so that the process of the emulated dependencies stays
# small.


def _run_emulate(arguments: Mapping[str, Any]) -> int:
    from ironmill_testbed import emulate

    return emulate.run(int(arguments["--hosts"]))


def _run_simulated_proxies(arguments: Mapping[str, Any]) -> int:
    from ironmill_testbed.faults import simulated_proxies

    return simulated_proxies.run(
        arguments["--settings"], int(arguments["--first"]), int(arguments["--proxies"])
    )


def _run_floor(arguments: Mapping[str, Any]) -> int:
    from ironmill_testbed import floors

    return floors.run(arguments["KIND"], arguments["--target"])


def _run_demo(arguments: Mapping[str, Any]) -> int:
    from ironmill_testbed import demo

    return demo.run(
        int(arguments["--clients"]), stay=arguments["--stay"], settings=_path(arguments["--settings"])
    )


def _run_call(arguments: Mapping[str, Any]) -> int:
    from ironmill_testbed import call

    return call.run(
        arguments["HOST:PORT"],
        arguments["--token"] or "",
        arguments["--class"],
        arguments["--tls"] or "",
        arguments["--certificate"] or "",
    )


def _run_certificates(arguments: Mapping[str, Any]) -> int:
    from ironmill_testbed import certificates

    return certificates.write_all(Path(arguments["DIR"]))


def _run_capacity(arguments: Mapping[str, Any]) -> int:
    from ironmill_testbed.capacity import page

    return page.run(checking=arguments["--check"], plots=arguments["--plots"])


def _run_measure(arguments: Mapping[str, Any]) -> int:
    from ironmill_testbed import measure
    from ironmill_testbed.measures.options import MeasurementOptions

    program = _path(arguments["--program"])
    options = MeasurementOptions(arguments["--quick"], arguments["--poller"], program)
    return measure.run(arguments["NAME"], options)


def _path(value: str | None) -> Path | None:
    return Path(value).resolve() if value else None


COMMANDS: Mapping[str, Callable[[Mapping[str, Any]], int]] = {
    "emulate": _run_emulate,
    "hollow": _run_simulated_proxies,
    "floor": _run_floor,
    "demo": _run_demo,
    "call": _run_call,
    "certificates": _run_certificates,
    "capacity": _run_capacity,
    "measure": _run_measure,
}


if __name__ == "__main__":
    sys.exit(main())
