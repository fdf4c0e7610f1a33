use std::collections::BTreeMap;

use compact_str::{CompactString, format_compact};

use crate::fleet::FleetState;
use crate::ids::InstanceName;

/// Number of failures in one rack, zone or image at which a wave halts.
pub const HALT_FAILURES: u32 = 2;

/// Returns the reason for halting a wave, if any: the rack, image or zone that has
/// [`HALT_FAILURES`] or more of its `failed` members. If there are several, a rack takes precedence
/// over an image, and an image over a zone.
#[must_use]
pub fn halt_reason<'a>(
    state: &FleetState,
    failed: impl IntoIterator<Item = &'a InstanceName>,
) -> Option<CompactString> {
    let mut failures: BTreeMap<CompactString, u32> = BTreeMap::new();
    for name in failed {
        let Some(instance) = state.instances.get(name) else {
            continue;
        };
        let domains = [
            format_compact!("rack {} in zone {}", instance.rack, instance.zone),
            format_compact!("image {}", instance.image),
            format_compact!("zone {}", instance.zone),
        ];
        for domain in domains {
            *failures.entry(domain).or_default() += 1;
        }
    }
    let precedence = |domain: &CompactString| {
        ["rack", "image", "zone"]
            .iter()
            .position(|kind| domain.starts_with(kind))
    };
    failures
        .into_iter()
        .filter(|(_, count)| *count >= HALT_FAILURES)
        .min_by_key(|(domain, _)| precedence(domain))
        .map(|(domain, count)| format_compact!("{count} failures in {domain}"))
}
