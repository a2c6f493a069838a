# PYTHON is the interpreter of the development environment; the CI script hands in its own.
PYTHON ?= .venv-dev/bin/python

.PHONY: build dev test lint run

build:
	sh deploy/build.sh

dev:
	python3 -m venv .venv-dev
	.venv-dev/bin/pip install -q --disable-pip-version-check -e '.[dev]'

test:
	$(PYTHON) -m pytest

run:
	.venv/bin/python -m ironmill serve

lint:
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy
