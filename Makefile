# Set up, try, check and test siskinbank.

PYTHON ?= python3
BIN := .venv/bin
STAMP := .venv/.ready

.PHONY: setup demo test lint format lock events binary clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: setup
	$(BIN)/siskinbank lab demo

test: setup
	$(BIN)/python -m tests.run

lint: setup
	$(BIN)/ruff format --check siskinbank tests tools examples
	$(BIN)/flake8 siskinbank tests tools
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format siskinbank tests tools examples

# Write the versions that are installed now into the lock.
lock: setup
	$(BIN)/python -m pip freeze --exclude-editable --exclude pip-tools \
		--exclude build --exclude pyproject_hooks > requirements.lock

events: setup
	$(BIN)/python -m siskinbank.kernel.events > docs/EVENTS.md

# One file, dist/siskinbank, that runs where the same Python is installed.
binary: setup
	$(BIN)/python tools/build_binary.py dist/siskinbank

clean:
	rm -rf .venv build dist *.egg-info
