"""Loads all modules, so that Hypothesis draws the same examples whichever tests are selected."""

from tests.support.hypothesis_constants import load_all_modules

load_all_modules()
