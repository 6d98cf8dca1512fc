# Regenerates the committed sources. Needs `cargo install cargo-typify --locked --version 0.8.0`.

SCHEMAS := caller declaration engine mesh peer platform settings

.PHONY: schema
schema:
	for name in $(SCHEMAS); do \
		cargo typify schema/$$name.json -o src/schema/$$name.rs --no-builder \
			--additional-derive PartialEq --map-type ::std::collections::BTreeMap \
			--crate basilgw@0.1.0 && rustfmt --edition 2024 src/schema/$$name.rs || exit 1; \
	done
	cat schema/*.json src/schema/*.rs | sha256sum | cut -d ' ' -f 1 > schema/SHA256
