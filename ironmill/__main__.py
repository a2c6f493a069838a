"""``python -m ironmill`` is the command line."""

import gc
import sys

# What modules make stays: to look through it again and again is a tenth of the start. ``GcSchedule`` turns
# the collector on.
gc.disable()

from ironmill.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
