use std::collections::BTreeMap;

use bytes::Bytes;
use hyper::{Method, Response, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sesamedeal_core::ids::InstanceName;
use sesamedeal_store::protocol::ObjectList;
use tokio::time::Instant;

use super::instance_table::InstanceTable;
use super::platform_faults::CallFaults;
use super::store_load::{LoadKind, StoreLoad};
use super::table_state::TableState;
use super::{FaultScope, PlatformFaults};
use crate::http_server::{AnswerBody, json, plain, with_json};

/// Service, kind of load and whether it is a write, of a call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallClass {
    pub(crate) scope: FaultScope,
    pub(crate) load: LoadKind,
    pub(crate) is_write: bool,
}

impl CallClass {
    pub(crate) fn new(method: &Method, path: &str) -> Self {
        let is_write = path == "/v1/table/write"
            || path.ends_with("/reboot")
            || matches!(*method, Method::PUT | Method::DELETE);
        let (scope, load) = if path.starts_with("/v1/table/") {
            (
                FaultScope::Table,
                [LoadKind::TableRead, LoadKind::TableWrite],
            )
        } else if path.starts_with("/v1/objects") {
            (
                FaultScope::Objects,
                [LoadKind::ObjectRead, LoadKind::ObjectWrite],
            )
        } else {
            (FaultScope::Instances, [LoadKind::ListRead; 2])
        };
        Self {
            scope,
            load: load[usize::from(is_write)],
            is_write,
        }
    }
}

#[derive(Debug)]
pub(crate) struct PlatformState {
    pub(crate) table: TableState,
    pub(crate) objects: BTreeMap<String, Bytes>,
    pub(crate) instances: InstanceTable,
    pub(crate) faults: PlatformFaults,
    pub(crate) load: StoreLoad,
    random: Pcg64Mcg,
}

impl PlatformState {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            table: TableState::default(),
            objects: BTreeMap::new(),
            instances: InstanceTable::default(),
            faults: PlatformFaults::default(),
            load: StoreLoad::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    pub(crate) fn draw_faults(&mut self, class: CallClass) -> CallFaults {
        let random = &mut self.random;
        let draw = || random.random_range(0..1000);
        self.faults.of_call(class.scope, class.is_write, draw)
    }

    /// Handles a call of the table service, the object store or the list.
    pub(crate) fn call(
        &mut self,
        method: &Method,
        uri: &str,
        body: &Bytes,
    ) -> Response<AnswerBody> {
        let (path, query) = uri.split_once('?').unwrap_or((uri, ""));
        match (method, path) {
            (&Method::POST, "/v1/table/read") => with_json(body, |call| self.table.read(&call)),
            (&Method::POST, "/v1/table/scan") => with_json(body, |call| self.table.scan(&call)),
            (&Method::POST, "/v1/table/write") => with_json(body, |call| self.table.write(call)),
            (&Method::GET, "/v1/instances") => json(&self.instances.list(Instant::now())),
            (&Method::GET, "/v1/objects") => {
                json(&self.list_objects(query.strip_prefix("prefix=").unwrap_or_default()))
            }
            _ => match path.strip_prefix("/v1/objects/") {
                Some(key) => self.object(method, key, body),
                None => plain(StatusCode::NOT_FOUND, Bytes::new()),
            },
        }
    }

    fn list_objects(&self, prefix: &str) -> ObjectList {
        let keys = self.objects.keys();
        let keys = keys.filter(|key| key.starts_with(prefix));
        ObjectList {
            keys: keys.map(Into::into).collect(),
        }
    }

    fn object(&mut self, method: &Method, key: &str, body: &Bytes) -> Response<AnswerBody> {
        let not_found = || plain(StatusCode::NOT_FOUND, Bytes::new());
        match *method {
            Method::GET => match self.objects.get(key) {
                Some(content) => plain(StatusCode::OK, content.clone()),
                None => not_found(),
            },
            Method::PUT => {
                self.objects.insert(key.to_owned(), body.clone());
                plain(StatusCode::OK, Bytes::new())
            }
            Method::DELETE => match self.objects.remove(key) {
                Some(_) => plain(StatusCode::OK, Bytes::new()),
                None => not_found(),
            },
            _ => plain(StatusCode::METHOD_NOT_ALLOWED, Bytes::new()),
        }
    }
}

/// The instance of a path such as `/v1/instances/a/reboot`.
pub(crate) fn instance_in(path: &str, prefix: &str, suffix: &str) -> Option<InstanceName> {
    let name = path.strip_prefix(prefix)?.strip_suffix(suffix)?;
    (!name.is_empty() && !name.contains('/')).then(|| InstanceName::new(name))
}
