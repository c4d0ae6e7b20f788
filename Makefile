# What a maintainer needs day by day. `make test` is what CI runs.
.PHONY: build test lint fmt run clean

build:
	cargo build --release --locked

lint:
	cargo fmt --check
	cargo clippy --all-targets --locked -- -D warnings

test: lint
	cargo test --locked

fmt:
	cargo fmt

# Needs GW_CONFIG; see the README.
run: build
	exec target/release/petrelgauge

clean:
	cargo clean
