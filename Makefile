PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
CODE := boragespool platform tests features

.PHONY: setup format lint test demo bench bench-short fuzz

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements-dev.txt
	$(BIN)/python -m pip install -q --no-deps --no-build-isolation -e .
	touch $(STAMP)

format: setup
	$(BIN)/ruff format $(CODE)

lint: setup
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/flake8 $(CODE)
	$(BIN)/mypy
	$(BIN)/lint-imports

test: setup
	$(BIN)/python -m tests.run_all

demo: setup
	$(BIN)/boragespool demo

bench: setup
	$(BIN)/python -m boragespool.bench

bench-short: setup
	$(BIN)/python -m boragespool.bench --short

fuzz: setup
	FUZZ_EXAMPLES=$(or $(SEEDS),20000) $(BIN)/python -m pytest tests/fuzz
