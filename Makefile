# Pinned commands; docs/README tells what each prints.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup test demo bench format lint types imports unit clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

test: lint types imports unit

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: setup
	$(BIN)/mypy

imports: setup
	$(BIN)/lint-imports

unit: setup
	$(BIN)/pytest -n 8

demo: setup
	$(BIN)/python -m tinrudder_lab.demo

bench: setup
	$(BIN)/python -m bench.call_cost

clean:
	rm -rf $(VENV) build *.egg-info
