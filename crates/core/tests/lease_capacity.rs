//! Which instances leave a lease to larger ones.

use sesamedeal_core::lease::InstanceCapacity;

const fn capacity(cpu_millis: u64, link_mbps: u64) -> InstanceCapacity {
    InstanceCapacity {
        cpu_millis,
        link_mbps,
    }
}

/// Guards against an owner of hundreds of workers on a small instance while a large one is alive.
#[test]
fn small_defers() {
    let small = capacity(120, 20);
    let large = capacity(500, 200);
    assert!(small.is_much_smaller_than(large));
    assert!(!large.is_much_smaller_than(small));
    assert!(capacity(500, 10).is_much_smaller_than(large), "a slow link");
}

/// Guards against an ownership that changes hands between instances of about the same size.
#[test]
fn equals_compete() {
    let one = capacity(250, 1_000);
    assert!(!one.is_much_smaller_than(one));
    assert!(!one.is_much_smaller_than(capacity(400, 1_000)));
    assert!(
        !capacity(500, 10).is_much_smaller_than(capacity(120, 200)),
        "neither has all"
    );
    assert!(!InstanceCapacity::default().is_much_smaller_than(InstanceCapacity::default()));
}
