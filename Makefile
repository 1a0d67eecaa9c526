VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test soak check format pages clean

$(STAMP): requirements/requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --require-hashes -r requirements/requirements.lock
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

# Start the system, run a small mix of work against it, print a report.
demo: $(STAMP)
	$(VENV)/bin/notcharch demo

# Run all tests.
test: $(STAMP)
	$(PYTHON) tools/run_tests.py

# Run a short soak of real processes with faults, always with the same seed.
soak: $(STAMP)
	$(PYTHON) -m deploy.soak --seconds 20 --seed 1

# Format, lint, types, layers and pages: everything of CI but the tests.
check: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	$(PYTHON) tools/check_layers.py
	$(PYTHON) -m notcharch.events.catalogue --check docs/events.md
	$(PYTHON) -m notcharch.settings.example --check docs/notcharch.example.toml
	$(PYTHON) -m deploy.pages --check

# Write the pages that come from the bench's journal.
pages: $(STAMP)
	$(PYTHON) -m deploy.pages

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

clean:
	rm -rf $(VENV)
