"""Entry point of ``python -m ironmill`` and of the command ``ironmill``."""

import gc
import sys

# Garbage collection is off during the imports: their objects stay for the life of the process, and collecting
# takes a tenth of the start time. ``GcSchedule`` enables the collector.
gc.disable()

from ironmill.runtime.signal_mask import block_service_signals  # noqa: E402

SERVICES = ("serve", "control")  # commands that handle signals, once they have loaded their modules


def main() -> int:
    """Runs the command of the command line and returns the exit status."""
    if sys.argv[1:2] and sys.argv[1] in SERVICES:
        block_service_signals()  # until the handlers are installed, and again after they are removed
    from ironmill.cli import main as run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
