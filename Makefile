# PYTHON is the interpreter of the development environment; the CI script hands in its own.
PYTHON ?= .venv-dev/bin/python
ifeq ($(PYTHON),.venv-dev/bin/python)
SETUP := .venv-dev/complete
endif

# Workers for the tests without processes. Those with processes run one after another.
WORKERS ?= 4

.PHONY: build dev demo lint run test

demo: $(SETUP)
	$(PYTHON) -m ironmill_testbed demo $(ARGS)

test: $(SETUP)
	$(PYTHON) -m pytest --collect-only -qq
	$(PYTHON) -m pytest -n $(WORKERS) --dist loadfile tests/unit
	$(PYTHON) -m pytest tests/system

lint: $(SETUP)
	$(PYTHON) -m ruff check .
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m mypy

build:
	sh deploy/build.sh

run:
	trap '' HUP; exec .venv/bin/python -m ironmill serve

dev: .venv-dev/complete

# The stamp is written last, so an environment that was left half-made is made anew.
.venv-dev/complete: pyproject.toml
	rm -rf .venv-dev
	python3 -m venv .venv-dev
	.venv-dev/bin/pip install -q --disable-pip-version-check -e '.[dev]'
	touch $@
