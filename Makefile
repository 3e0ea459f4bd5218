# The commands of a newcomer and of CI. Each one makes the environment first.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEED ?= 1
SECONDS ?= 60
KEEP ?=

.PHONY: run test check format prove ablations measure overhead slopes clean

$(STAMP): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    --editable '.[development]'
	touch $(STAMP)

run: $(STAMP)
	$(BIN)/python -m lab.run $(if $(KEEP),--keep)

test: check
	$(BIN)/python -m tests

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

prove: $(STAMP)
	$(BIN)/python -m lab.prove --seed $(SEED) --seconds $(SECONDS)

ablations: $(STAMP)
	$(BIN)/python -m lab.ablations

measure: $(STAMP)
	$(BIN)/python -m lab.measure --seed $(SEED)

overhead: $(STAMP)
	$(BIN)/python -m lab.overhead

slopes: $(STAMP)
	$(BIN)/python -m lab.slopes

clean:
	rm -rf $(VENV) build
