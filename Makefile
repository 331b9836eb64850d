PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= lanyu
SEEDS ?= 1-3
export PYTHONPATH := src

.PHONY: setup test check format demo bench soak

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements-dev.txt -c constraints.txt
	touch $@

check: setup
	$(BIN)/black --check -q src tests
	$(BIN)/ruff check -q src tests

format: setup
	$(BIN)/black -q src tests
	$(BIN)/ruff check -q --fix src tests

test: check
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/python -m buckthornstage.demo.main --deployment=$(DEPLOYMENT)

soak: setup
	$(BIN)/python -m buckthornstage.soak --seeds=$(SEEDS)

bench: setup
	$(BIN)/python -m buckthornstage.bench.main
