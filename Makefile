# What a maintainer needs day by day. `make test` is what CI runs.
.PHONY: build test lint fmt run demo lab models sites clean

build:
	cargo build --release --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked

# Tests that KNOWN-RED.txt names are run apart and have to fail; all others have to pass.
test: lint
	tools/test

fmt:
	cargo fmt --all

# The gateway before emulated hosts and register, some load, a table of what was served.
demo: lab
	target/release/petrelgauge-lab demo

# The laboratory: `target/release/petrelgauge-lab list`.
lab:
	cargo build --release --locked -p petrelgauge -p petrelgauge-lab

# The exhaustive models, with every planted bug. Built apart from the gateway, which must hold none.
models:
	cargo build --release --locked -p petrelgauge-models
	target/release/petrelgauge-models
	target/release/petrelgauge-models --mutant all

# Needs GW_CONFIG; see the README.
run: build
	exec target/release/petrelgauge

# Lays beside the variants in deploy/sites what a bench wants there. KIT: the folder of the site that they vary.
KIT ?= ../given/kit/sites
sites:
	cp -f $(KIT)/real.json $(KIT)/wire.json $(KIT)/unlock.txt deploy/sites/

clean:
	cargo clean
