# Pinned commands; README.md tells what they are for.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
JOBS ?= 6

.PHONY: setup protobuf test demo soak bench format lint types imports unit proof clean

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
	$(BIN)/vulture

types: setup
	$(BIN)/mypy

imports: setup
	$(BIN)/lint-imports

unit: setup
	$(BIN)/pytest -n $(JOBS)

# Regenerates the committed protobuf code; needs nothing outside the virtual environment.
protobuf: setup
	$(BIN)/python -m grpc_tools.protoc --proto_path=. --python_out=. \
		--plugin=protoc-gen-mypy=$(BIN)/protoc-gen-mypy --mypy_out=. $$(git ls-files '*.proto')

demo: setup
	$(BIN)/python -m tinrudder_lab.demo

# Three gateways as processes against stand-ins, with faults at random; logs in build/soak/1.
soak: setup
	$(BIN)/tinrudder-lab soak --folder build/soak

bench: setup
	$(BIN)/python -m bench.call_cost

# All scenarios over seeds in virtual time, and every planted defect; under 10 minutes.
proof: setup
	$(BIN)/python -m tinrudder_lab.proof

clean:
	rm -rf $(VENV) build *.egg-info
