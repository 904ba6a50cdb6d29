VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
export PYTHONPATH := src:.
export PYTHONDONTWRITEBYTECODE := 1
SEED ?= 1
SECONDS_LONG ?= 120

.PHONY: test demo measure soak binary install lint format generate fuzz bench hunt

install: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --require-hashes -r requirements.lock
	touch $@

generate: install
	$(BIN)/python tools/generate.py

format: install
	$(BIN)/ruff format src tests measures tools
	$(BIN)/ruff check --fix src tests measures tools

lint: install
	$(BIN)/ruff format --check src tests measures tools
	$(BIN)/ruff check src tests measures tools
	$(BIN)/python tools/generate.py --check
	$(BIN)/mypy
	$(BIN)/lint-imports

test: lint binary
	$(BIN)/python -m tests.run $(if $(LONG),--long)

demo: install
	$(BIN)/python -m tests.standins.demo

measure: install
	$(BIN)/python -m measures $(if $(LONG),--long)

soak: install
	$(BIN)/python -m tests.soak --seed $(SEED) --seconds $(SECONDS_LONG)

# SITE: path of a site file. SEED and DAYS of `bench` and COUNT of `hunt` are optional.
bench: install
	$(BIN)/python -m tests.bench bench --site $(SITE) $(if $(filter command line,$(origin SEED)),--seed $(SEED)) $(if $(DAYS),--days $(DAYS))

hunt: install
	$(BIN)/python -m tests.bench hunt --site $(SITE) --days $(or $(COUNT),40)

binary: build/fescueflow

build/fescueflow: install pyproject.toml $(shell find src -name '*.py' -o -name '*.capnp')
	mkdir -p build
	rm -rf build/site build/lib build/bdist.*
	$(BIN)/pip install -q --no-deps --no-build-isolation --target build/site . 2>build/pip.log
	$(BIN)/python tools/pin_runtime.py > build/runtime.lock
	$(BIN)/pip install -q --require-hashes --target build/site -r build/runtime.lock 2>build/pip.log
	$(BIN)/shiv --site-packages build/site -e fescueflow.cli:main -p '/usr/bin/env python3' -o $@
