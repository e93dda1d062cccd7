# The environment that deploy/balancer.toml builds is used for all; `make build` makes it.
PYTHON := .venv/bin/python

.PHONY: build test lint run check clean

build: .venv/.built

# A stamp, as the interpreter is a link to one that is older than any requirement: built again each time.
.venv/.built: requirements.txt
	python3 -m venv .venv
	.venv/bin/pip install -q -r requirements.txt
	touch $@

.venv/bin/pytest: .venv/.built pyproject.toml
	.venv/bin/pip install -q "pytest==8.4.2" "ruff==0.13.3"
	touch $@

test: .venv/bin/pytest
	$(PYTHON) -m pytest -q

lint: .venv/bin/pytest
	.venv/bin/ruff check .

# BALANCER_CONFIG names the configuration of the front.
run: build
	$(PYTHON) -O -m thistlelever serve

check: build
	$(PYTHON) -m thistlelever check

clean:
	rm -rf .venv .pytest_cache .ruff_cache
