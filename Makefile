PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= cascade

SEEDS ?= 1-4
SOAK ?= --fresh 2

.PHONY: demo serve test crowds check format bench model faults soak capacity generate

$(VENV)/.installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m azureswitch_load.demo --deployment $(DEPLOYMENT)

serve: $(VENV)/.installed
	$(BIN)/python -m azureswitch_load.demo --deployment $(DEPLOYMENT) --serve

test: $(VENV)/.installed
	$(BIN)/python -m pytest --ignore tests/crowds

# Each crowd takes memory, descriptors and processor time, so these tests run beside nothing else.
crowds: $(VENV)/.installed
	$(BIN)/python -m pytest tests/crowds

check: $(VENV)/.installed
	$(BIN)/black --check --quiet src tests bench models deploy
	$(BIN)/ruff check src tests bench models deploy
	$(BIN)/mypy

format: $(VENV)/.installed
	$(BIN)/black --quiet src tests bench models deploy
	$(BIN)/ruff check --fix src tests bench models deploy

bench: $(VENV)/.installed
	$(BIN)/python -m bench

model: $(VENV)/.installed
	$(BIN)/python -m models

faults: $(VENV)/.installed
	$(BIN)/python -m bench.faults

soak: $(VENV)/.installed
	$(BIN)/python -m bench.soak --seeds $(SEEDS) $(SOAK)

capacity: $(VENV)/.installed
	$(BIN)/python -m bench.capacity

generate: $(VENV)/.installed
	$(BIN)/pip install --quiet --editable .[generate]
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python -m grpc_tools.protoc -I src --python_out=src --grpclib_python_out=src --mypy_out=src \
		src/azureswitch/peers/peers.proto
