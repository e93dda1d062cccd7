# The environment that deploy/balancer.toml builds is used for all; `make build` makes it.
PYTHON := .venv/bin/python

.PHONY: build test lint run check demo proto clean

build: .venv/.built

# A stamp, as the interpreter is a link to one that is older than any requirement: built again each time.
.venv/.built: requirements.txt
	python3 -m venv .venv
	.venv/bin/pip install -q -r requirements.txt
	touch $@

.venv/bin/pytest: .venv/.built requirements-all.txt
	.venv/bin/pip install -q -r requirements-all.txt
	touch $@

test: .venv/bin/pytest
	$(PYTHON) -m pytest -q

lint: .venv/bin/pytest
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/lint-imports

# BALANCER_CONFIG names the configuration of the front.
run: build
	$(PYTHON) -OO -m thistlelever serve

check: build
	$(PYTHON) -m thistlelever check

# One front among stand-ins, no configuration wanted: `make demo`, or `make demo FOR=3` for three seconds.
demo: build
	$(PYTHON) -m thistlelever demo $(if $(FOR),--for $(FOR))

# What is generated: the messages of Arrow Flight and Flight SQL, and the schema of the operator file.
proto: .venv/bin/pytest
	$(PYTHON) -m grpc_tools.protoc -I. --python_out=. thistlelever/wire/flight/flight.proto \
		thistlelever/wire/flight/flight_sql.proto
	$(PYTHON) -m thistlelever schema > deploy/operator.schema.json

clean:
	rm -rf .venv .pytest_cache .ruff_cache
