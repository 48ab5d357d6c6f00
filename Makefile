PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := -e packages/daisylift -e packages/daisylift-node -e packages/daisylift-admin

.PHONY: help install lint format test matrix demo run bench soak generate

help:  ## List the targets.
	@grep -hE '^[a-z-]+:.*## ' Makefile | sed -E 's/:.*## /\t/'

install: $(VENV)/.installed  ## Make the virtual environment with the pinned libraries.

$(VENV)/.installed: requirements.txt $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(PACKAGES)
	touch $@

lint: install  ## Check the format and the lint rules.
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install  ## Format the sources and mend what the linter can.
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

test: install  ## Run the tests.
	$(BIN)/python -m tests.known_red

matrix: install  ## Run the whole fault matrix and print it (about five minutes).
	$(BIN)/python -m tests.matrix

demo: install  ## Start stand-ins and entry VMs, do the main job on both interfaces, print it, stop.
	$(BIN)/python -m tests.fakes.entry_demo
	$(BIN)/python -m tests.fakes.demo

run: install  ## As demo, but leave everything running until interrupted.
	$(BIN)/python -m tests.fakes.demo --stay

bench: install  ## Run the benchmarks for both workloads (not in CI).
	$(BIN)/python -m bench.measures

soak: install  ## Run fresh seeds of the fault soak (SEED=, COUNT=, ARGS= for more).
	$(BIN)/python -m soak --seed $(or $(SEED),$(shell date +%s)) --count $(or $(COUNT),3) $(ARGS)

generate: install  ## Regenerate the code of the schema files (needs requirements-dev.txt).
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	cd packages/daisylift/src && ../../../$(BIN)/python -m grpc_tools.protoc -I . \
		--python_out=. --grpclib_python_out=. --plugin=protoc-gen-grpclib_python=../../../$(BIN)/protoc-gen-grpclib_python \
		daisylift/schema/*.proto
