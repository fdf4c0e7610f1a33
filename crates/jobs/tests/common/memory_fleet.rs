use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use parking_lot::Mutex;
use sesamedeal_core::ids::{InstanceName, PoolName, ZoneName};
use sesamedeal_jobs::ports::{
    FleetPort, InstanceOrder, InstanceReport, InventoryState, OrderOutcome, StoreTable,
};
use sesamedeal_store::PlatformError;
use tokio::time::Instant;

use super::{MemoryStore, MemoryWorkers};

/// Duration of maintenance unless a test sets it.
const MAINTENANCE_TIME: Duration = Duration::from_millis(400);

/// Faults that a test can inject into the inventory.
#[derive(Debug, Default)]
pub struct FleetFaults {
    /// Whether the list omits instances during their maintenance.
    pub omits_maintained: bool,
    /// Whether reading the list fails.
    pub is_list_refused: bool,
    /// Instance that the list omits.
    pub omitted: Option<InstanceName>,
}

#[derive(Debug)]
struct Inventory {
    count: usize,
    maintenance_time: Duration,
    /// End of the maintenance of each instance that has been ordered into maintenance.
    in_maintenance: BTreeMap<InstanceName, Instant>,
    /// Instances in the order in which their maintenance was ordered.
    orders: Vec<InstanceName>,
    /// Highest number of instances that were in maintenance at the same time.
    max_in_maintenance: usize,
    /// Number of tasks that maintenance ended.
    ended_tasks: usize,
}

/// In-memory inventory. Instance `machine-N` runs `worker-N`.
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
            maintenance_time: MAINTENANCE_TIME,
            in_maintenance: BTreeMap::new(),
            orders: Vec::new(),
            max_in_maintenance: 0,
            ended_tasks: 0,
        };
        Self {
            store,
            workers,
            inventory: Arc::new(Mutex::new(inventory)),
            faults: Arc::default(),
        }
    }

    /// Sets the duration of maintenance.
    pub fn set_maintenance_time(&self, time: Duration) {
        self.inventory.lock().maintenance_time = time;
    }

    /// Returns the maintained instances in the order of their maintenance, and the highest number
    /// of instances that were in maintenance at the same time.
    pub fn maintained(&self) -> (Vec<InstanceName>, usize) {
        let inventory = self.inventory.lock();
        (inventory.orders.clone(), inventory.max_in_maintenance)
    }

    /// Returns the number of tasks that maintenance ended.
    pub fn ended_tasks(&self) -> usize {
        self.inventory.lock().ended_tasks
    }

    pub fn port(&self) -> FleetPort {
        let (lists, orders) = (self.clone(), self.clone());
        FleetPort {
            list: Arc::new(move |()| {
                let outcome = if lists.faults.lock().is_list_refused {
                    Err(PlatformError::Unreachable {
                        reason: "inventory list refused".to_owned(),
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
            let until = inventory.in_maintenance.get(&name);
            let is_in_maintenance = until.is_some_and(|until| Instant::now() < *until);
            InstanceReport {
                name,
                pool: PoolName::new("pool"),
                state: if is_in_maintenance {
                    InventoryState::UnderMaintenance
                } else {
                    InventoryState::Up
                },
                zone: ZoneName::new("zone"),
                worker: Some(InstanceName::new(format!("worker-{number}"))),
            }
        });
        let listed = reports.filter(|report| {
            let is_omitted = faults.omitted.as_ref() == Some(&report.name);
            let is_in_maintenance = report.state == InventoryState::UnderMaintenance;
            !(is_omitted || faults.omits_maintained && is_in_maintenance)
        });
        listed.collect()
    }

    fn order(&self, order: &InstanceOrder) -> OrderOutcome {
        let mut inventory = self.inventory.lock();
        let now = Instant::now();
        inventory.orders.push(order.instance.clone());
        let until = now + inventory.maintenance_time;
        inventory
            .in_maintenance
            .insert(order.instance.clone(), until);
        let in_maintenance = inventory
            .in_maintenance
            .values()
            .filter(|until| now < **until)
            .count();
        inventory.max_in_maintenance = inventory.max_in_maintenance.max(in_maintenance);
        let number = &order.instance.as_str()["machine-".len()..];
        let (boot, ended_tasks) = self.workers.reboot(number.parse().unwrap());
        inventory.ended_tasks += ended_tasks;
        let key = format!("worker-{number}");
        self.store
            .put(StoreTable::WorkerList, &key, boot.to_string().as_bytes());
        OrderOutcome::Accepted
    }
}
