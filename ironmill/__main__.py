"""Entry point of ``python -m ironmill``."""

import gc
import sys

# Garbage collection is off during the imports: their objects stay for the life of the process, and collecting
# takes a tenth of the start time. ``GcSchedule`` enables the collector.
gc.disable()

from ironmill.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
