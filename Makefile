# Entry points for people and CI.

BENCH_POLICIES = product random round-robin least-outstanding naive
BENCH_EXPERIMENTS = steady-80 overload-2x stragglers

.PHONY: fmt lint test demo bench capacity model-check

fmt:
	cargo fmt --all --check

lint:
	cargo clippy --workspace --all-targets --locked -- -D warnings

# Tests with a known fault, which are passed over and printed.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt)

# The programs come first, since tests start them as processes.
test:
	@if [ -n "$(KNOWN_RED)" ]; then echo "passed over, see KNOWN-RED.txt: $(KNOWN_RED)"; fi
	cargo build --workspace --bins --locked
	cargo test --workspace --locked -- $(KNOWN_RED:%=--skip %)

demo:
	cargo build --release --workspace --bins --locked
	cargo run --release --locked -p oleander-load --bin oleander-demo

# Runs the product and the baselines in turn on the same seeds; ends within five minutes.
bench:
	cargo build --release --workspace --bins --locked
	target/release/oleander-load $(BENCH_POLICIES:%=--policy %) $(BENCH_EXPERIMENTS:%=crates/oleander-load/experiments/%.ini)

# Explores the models to their deep bounds and prints states, depth, time and memory.
model-check:
	cargo test --release --locked -p oleanderlock --test 'model_*' -- --ignored --nocapture --test-threads=1

# Measures the slopes of docs/CAPACITY-links.md; takes about eight minutes.
capacity:
	cargo run --release --locked -p oleander-load --bin oleander-capacity -- all
