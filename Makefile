# Commands of the project; README.md explains them.

VENV ?= .venv
PYTHON = $(VENV)/bin/python
STAMP = $(VENV)/.installed
# The lock files are complete, so pip resolves no dependencies. `installer.txt`
# comes first because its pip installs the other packages in 23 s; the pip of
# Python 3.11 takes 50 s.
PIP = $(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --require-hashes
SOURCES = cardamomflow lab standins soak tests bench tools

export PYTHONPATH := $(CURDIR)
# The tests start the programs many times. Without bytecode, each start compiles
# every module again, which doubles its processor time.
export PYTHONDONTWRITEBYTECODE =

.PHONY: demo test bench promises days hunt soak lint format generate check-generated lock setup

setup: $(STAMP)

$(STAMP): requirements/installer.txt requirements/development.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PIP) -r requirements/installer.txt
	$(PIP) --no-compile -r requirements/development.txt
	$(PYTHON) -m compileall -q -j 0 $(VENV)/lib
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) -m standins.demo

lint: $(STAMP)
	$(PYTHON) -m ruff format --check $(SOURCES)
	$(PYTHON) -m ruff check --quiet $(SOURCES)
	$(PYTHON) -m flake8 --jobs 8 $(SOURCES)

format: $(STAMP)
	$(PYTHON) -m ruff format $(SOURCES)

generate: $(STAMP)
	$(PYTHON) -m tools.generate

check-generated: $(STAMP)
	$(PYTHON) -m tools.generate --check

test: lint check-generated
	$(PYTHON) -m tools.suite

bench: $(STAMP)
	$(PYTHON) -m bench.run

promises: $(STAMP)
	$(PYTHON) -m tools.suite --promises

days: $(STAMP)
	$(PYTHON) -m tests.playdays days $(SITES) --jobs $(or $(JOBS),3) $(if $(SMALL),--small)

hunt: $(STAMP)
	$(PYTHON) -m tests.playdays hunt $(SITE) --days $(or $(DAYS),40) --jobs $(or $(JOBS),3) $(if $(SMALL),--small)

soak: $(STAMP)
	$(PYTHON) -m soak --first $(or $(FIRST),1) --seeds $(or $(SEEDS),50)

lock:
	cd requirements && ../$(VENV)/bin/pip-compile --quiet --generate-hashes --allow-unsafe --no-emit-index-url --no-emit-find-links --strip-extras -o installer.txt installer.in
	cd requirements && ../$(VENV)/bin/pip-compile --quiet --generate-hashes --no-emit-index-url --no-emit-find-links --strip-extras -o runtime.txt runtime.in
	cd requirements && ../$(VENV)/bin/pip-compile --quiet --generate-hashes --allow-unsafe --no-emit-index-url --no-emit-find-links --strip-extras -o development.txt development.in
