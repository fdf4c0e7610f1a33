//! Comparison of instance capacities, which decides when a small holder of a lease yields.

use sesamedeal_core::lease::InstanceCapacity;

const fn capacity(cpu_millis: u64, link_mbps: u64) -> InstanceCapacity {
    InstanceCapacity {
        cpu_millis,
        link_mbps,
    }
}

/// Guards against a small instance owning hundreds of workers while a large instance is available.
#[test]
fn small_yields() {
    let small = capacity(120, 20);
    let large = capacity(500, 200);
    assert!(small.is_much_smaller_than(large));
    assert!(!large.is_much_smaller_than(small));
    assert!(capacity(500, 10).is_much_smaller_than(large), "a slow link");
}

/// Guards against ownership changes between instances of similar size.
#[test]
fn similar_sizes() {
    let medium = capacity(250, 1_000);
    assert!(!medium.is_much_smaller_than(medium));
    assert!(!medium.is_much_smaller_than(capacity(400, 1_000)));
    assert!(
        !capacity(500, 10).is_much_smaller_than(capacity(120, 200)),
        "neither has more of both resources"
    );
    assert!(!InstanceCapacity::default().is_much_smaller_than(InstanceCapacity::default()));
}
