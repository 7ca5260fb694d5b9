VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
SOURCES := packages platform tests tools
export PYTHONPATH := $(CURDIR)/packages/core/src:$(CURDIR)/packages/daemon/src:$(CURDIR)/packages/cli/src:$(CURDIR)/packages/standins/src:$(CURDIR)/tools:$(CURDIR)/platform/src

.PHONY: help env install format lint test slopes quickstart measure soak clean

help:
	@echo "make install     create $(VENV) and install the two binaries"
	@echo "make test        formatter, linter and all tests"
	@echo "make quickstart  run a small fleet through failures (KEEP=1 leaves it up)"
	@echo "make slopes      measure the costs behind docs/CAPACITY.md"
	@echo "make measure     measure fleets of the deployments' size (ONLY=rate RUNS=3 DEPLOYMENT=kranfind"
	@echo "                 SEED=1 TRIAL=1 OUT=docs/measurements.md JSON=build/measurements.json)"
	@echo "make soak        play faults around real gateways (SEEDS=5 FIRST=1 LENGTH_S=15)"
	@echo "make format      format the sources"

env: $(VENV)/.requirements

$(VENV)/.requirements: requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

install: env
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation \
		-e packages/core -e packages/daemon -e packages/cli -e packages/standins

format: env
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

quickstart: install
	$(BIN)/python -m tanagerreach_standins.quickstart $(if $(KEEP),--keep)

lint: env
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)

test: lint
	$(BIN)/python tools/run_tests.py

# The slopes of docs/CAPACITY.md, and the load that follows from them.
slopes: env
	$(BIN)/python tools/slopes.py --output build/slopes.json
	$(BIN)/python tools/project_capacity.py build/slopes.json

RUNS ?= 3
SEED ?= 1
OUT ?= docs/measurements.md
JSON ?= build/measurements.json

measure: env
	$(BIN)/python -m measure --runs $(RUNS) --seed $(SEED) --page $(OUT) --json $(JSON) \
		$(if $(ONLY),--only $(ONLY)) $(if $(DEPLOYMENT),--deployment $(DEPLOYMENT)) $(if $(TRIAL),--trial)

SEEDS ?= 5
FIRST ?= 1
LENGTH_S ?= 15

# Randomized faults around real processes; a seed that fails keeps its logs.
soak: env
	cd platform/tests && ../../$(BIN)/python soak.py --seeds $(SEEDS) --first $(FIRST) \
		--length-s $(LENGTH_S)

clean:
	rm -rf $(VENV) .ruff_cache .hypothesis
