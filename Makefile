# Set VENV to share one virtual environment between worktrees.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed-$(shell sha256sum requirements.lock | cut -c1-12)

.PHONY: setup test lint format unit demo serve bench-path bench-policy \
	bench-slopes check-model fault-matrix soak

setup: $(STAMP)

$(STAMP):
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $(STAMP)

test: setup lint unit

lint: setup
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m flake8 cicadahoist tests bench proof soak
	$(PYTHON) -m mypy
	$(VENV)/bin/lint-imports

format: setup
	$(PYTHON) -m ruff check --fix .
	$(PYTHON) -m ruff format .

unit: setup
	$(PYTHON) tests/run.py

demo: setup
	$(PYTHON) -m bench.demo

serve: setup
	$(PYTHON) -m bench.serve

bench-path: setup
	$(PYTHON) -m bench.path

bench-policy: setup
	$(PYTHON) -m bench.policy

bench-slopes: setup
	$(PYTHON) -m bench.slopes

# Seeds and seconds: make soak SOAK="--seed 7 --seeds 3 --logs run/soak"
SOAK ?= --seed 1 --seeds 10 --seconds 14
soak: setup
	$(PYTHON) -m soak $(SOAK)

check-model: setup
	$(PYTHON) -m proof.check_model $(if $(BROKEN),--broken $(BROKEN))

fault-matrix: setup
	$(PYTHON) -m proof.fault_matrix
