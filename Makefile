VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: test lint demo measure measure-wall capacity soak wire clean

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install -q --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

test: $(STAMP) lint
	$(PY) -m pytest -n 6 --dist worksteal

lint: $(STAMP)
	$(PY) -m ruff check src tests bench
	$(PY) -m ruff format --check src tests bench
	$(PY) -m mypy src bench/soak

demo: $(STAMP)
	$(VENV)/bin/onyxgap demo

measure: $(STAMP)
	$(PY) -m bench.measure

measure-wall: $(STAMP)
	$(PY) -m bench.wall

capacity: $(STAMP)
	$(PY) -m bench.capacity

soak: $(STAMP)
	$(PY) -m bench.soak --seeds $(or $(SEEDS),5)

wire:
	thrift --gen py:slots,enum,package_prefix=onyxgap.wire. -out src/onyxgap/wire src/onyxgap/wire/peer.thrift

clean:
	rm -rf $(VENV) build
