"""Loads every module of the project, so that Hypothesis draws the same examples in each run.

Hypothesis also draws constants from the sources of the modules that are loaded. If only some were loaded, the
examples would depend on the selection of tests, and on the tests that a worker of pytest-xdist ran before.
"""

from __future__ import annotations

import importlib
import pkgutil

import ironmill
import ironmill_testbed


def load_all_modules() -> None:
    """Imports all modules of both packages except ``__main__``, whose import would run a program."""
    for package in (ironmill, ironmill_testbed):
        for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            if not module.name.endswith("__main__"):
                importlib.import_module(module.name)
