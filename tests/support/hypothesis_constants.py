"""Loads every module of the project, so that Hypothesis draws the same examples in each run.

Hypothesis also draws constants that stand in the sources of the modules loaded so far. Without this the
examples would depend on which tests were selected, and on which worker of pytest-xdist ran what before.
"""

from __future__ import annotations

import importlib
import pkgutil

import ironmill
import ironmill_testbed


def load_all_modules() -> None:
    """Imports the modules of both packages but their ``__main__``, which are programs."""
    for package in (ironmill, ironmill_testbed):
        for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            if not module.name.endswith("__main__"):
                importlib.import_module(module.name)
