# Two commands: `make demo` sets up and runs the main job, `make test` sets up and passes the tests.
VENV := build/venv
PY := $(VENV)/bin/python

.PHONY: demo test setup

setup: $(VENV)/.done

$(VENV)/.done: pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install -e '.[lab,dev]'
	touch $@

demo: setup
	$(VENV)/bin/copperyard lab day bad --settings examples/caruso.xml --report build/report

test: setup
	$(PY) -m pytest -q -n auto
