use super::*;

fn limits(value_kb: f64, announced_kb: Option<f64>) -> StoreLimits {
    let next = settings::NextLimits { value_kb: announced_kb, ..settings::NextLimits::default() };
    StoreLimits::new(&StateLimits { rps: 100.0, write_rps: 50.0, value_kb, txn_ops: 16, next: Some(next) })
}

/// Guards against values that fit their own limit and no transaction, and so can never be written.
#[test]
fn every_value_fits_a_transaction() {
    for value_kb in [0.5, 2.0, 8.0, 32.0, 63.0, 64.0, 100.0, 1e6] {
        for announced_kb in [None, Some(1.0), Some(64.0), Some(1e6)] {
            let limits = limits(value_kb, announced_kb);
            let largest = limits.value_bytes().max(limits.current_value_bytes());
            assert!(largest < MAX_TRANSACTION_BYTES, "{value_kb} KiB, announced {announced_kb:?}");
            assert!(limits.value_bytes() <= limits.current_value_bytes());
        }
    }
}
