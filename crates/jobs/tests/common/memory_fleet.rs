use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use parking_lot::Mutex;
use sesamedeal_core::ids::{InstanceName, PoolName};
use sesamedeal_jobs::ports::{
    FleetPort, InstanceOrder, InstanceReport, InventoryState, OrderOutcome, StoreTable,
};
use sesamedeal_store::PlatformError;
use tokio::time::Instant;

use super::{MemoryStore, MemoryWorkers};

/// Time that maintenance takes unless a test sets it.
const MAINTENANCE: Duration = Duration::from_millis(400);

/// Faults of the inventory.
#[derive(Debug, Default)]
pub struct FleetFaults {
    /// Whether instances are left out of the list during their maintenance.
    pub omits_maintained: bool,
    /// Whether the list is refused.
    pub is_list_refused: bool,
    /// An instance that is left out of the list.
    pub omitted: Option<InstanceName>,
}

#[derive(Debug)]
struct Inventory {
    count: usize,
    maintenance: Duration,
    out: BTreeMap<InstanceName, Instant>,
    /// Orders in their sequence.
    orders: Vec<InstanceName>,
    most_out: usize,
    /// Tasks that were ended by maintenance.
    ended: usize,
}

/// An inventory in memory: instance `machine-N` runs `worker-N`.
#[derive(Debug, Clone)]
pub struct MemoryFleet {
    store: MemoryStore,
    workers: MemoryWorkers,
    inventory: Arc<Mutex<Inventory>>,
    pub faults: Arc<Mutex<FleetFaults>>,
}

impl MemoryFleet {
    pub fn new(count: usize, store: MemoryStore, workers: MemoryWorkers) -> Self {
        let inventory = Inventory {
            count,
            maintenance: MAINTENANCE,
            out: BTreeMap::new(),
            orders: Vec::new(),
            most_out: 0,
            ended: 0,
        };
        Self {
            store,
            workers,
            inventory: Arc::new(Mutex::new(inventory)),
            faults: Arc::default(),
        }
    }

    /// Sets the time that maintenance takes.
    pub fn set_maintenance(&self, time: Duration) {
        self.inventory.lock().maintenance = time;
    }

    /// Maintained instances in sequence, and the most that were out at once.
    pub fn maintained(&self) -> (Vec<InstanceName>, usize) {
        let inventory = self.inventory.lock();
        (inventory.orders.clone(), inventory.most_out)
    }

    /// Tasks that were ended by maintenance.
    pub fn ended(&self) -> usize {
        self.inventory.lock().ended
    }

    pub fn port(&self) -> FleetPort {
        let (lists, orders) = (self.clone(), self.clone());
        FleetPort {
            list: Arc::new(move |()| {
                let outcome = if lists.faults.lock().is_list_refused {
                    Err(PlatformError::Unreachable {
                        reason: "refused".to_owned(),
                    })
                } else {
                    Ok(lists.list())
                };
                async move { outcome }.boxed()
            }),
            order: Arc::new(move |order| {
                let outcome = orders.order(&order);
                async move { Ok(outcome) }.boxed()
            }),
        }
    }

    fn list(&self) -> Vec<InstanceReport> {
        let inventory = self.inventory.lock();
        let faults = self.faults.lock();
        let reports = (0..inventory.count).map(|number| {
            let name = InstanceName::new(format!("machine-{number}"));
            let until = inventory.out.get(&name);
            let is_out = until.is_some_and(|until| Instant::now() < *until);
            InstanceReport {
                name,
                pool: PoolName::new("pool"),
                state: if is_out {
                    InventoryState::UnderMaintenance
                } else {
                    InventoryState::Up
                },
                worker: Some(InstanceName::new(format!("worker-{number}"))),
            }
        });
        let listed = reports.filter(|report| {
            let is_omitted = faults.omitted.as_ref() == Some(&report.name);
            let is_out = report.state == InventoryState::UnderMaintenance;
            !(is_omitted || faults.omits_maintained && is_out)
        });
        listed.collect()
    }

    fn order(&self, order: &InstanceOrder) -> OrderOutcome {
        let mut inventory = self.inventory.lock();
        let now = Instant::now();
        inventory.orders.push(order.instance.clone());
        let until = now + inventory.maintenance;
        inventory.out.insert(order.instance.clone(), until);
        let out = inventory.out.values().filter(|until| now < **until).count();
        inventory.most_out = inventory.most_out.max(out);
        let number = &order.instance.as_str()["machine-".len()..];
        let (boot, ended) = self.workers.reboot(number.parse().unwrap());
        inventory.ended += ended;
        let key = format!("worker-{number}");
        self.store
            .put(StoreTable::WorkerList, &key, boot.to_string().as_bytes());
        OrderOutcome::Accepted
    }
}
