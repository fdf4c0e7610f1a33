use sesamedeal_core::membership::{EntryRole, ListState, ListedInstance};
use sesamedeal_store::protocol::{InstanceList, ListedState};

/// The platform's list as the decision library takes it.
pub(super) fn listed(list: InstanceList) -> Vec<ListedInstance> {
    list.instances
        .into_iter()
        .map(|instance| ListedInstance {
            name: instance.name,
            role: if instance.entry {
                EntryRole::Entry
            } else {
                EntryRole::Backend
            },
            address: instance.address,
            zone: instance.zone,
            rack: instance.rack,
            image: instance.image,
            state: match instance.state {
                ListedState::Live => ListState::Live,
                ListedState::Leaving => ListState::Leaving,
            },
            boot: instance.boot,
            cores: instance.cores,
            memory_mb: instance.memory_mb,
            slots: instance.slots,
        })
        .collect()
}
