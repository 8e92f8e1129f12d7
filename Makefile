.PHONY: build test lint run

build:
	cargo build --locked --release

test:
	cargo test --locked

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

# GW_CONFIG names the configuration; see README.md.
run: build
	exec target/release/ashvane serve
