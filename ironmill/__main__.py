"""Entry point of ``python -m ironmill``."""

import gc
import sys

# The objects of modules are permanent, and collections during the import are a tenth of the start.
# ``GcSchedule`` enables the collector.
gc.disable()

from ironmill.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
