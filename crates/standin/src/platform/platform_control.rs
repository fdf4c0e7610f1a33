use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use sesamedeal_core::ids::InstanceName;
use sesamedeal_store::protocol::PlatformInstance;

use super::platform_state::instance_in;
use super::{PlatformFaults, PlatformStandin, RateLimits};
use crate::http_server::{AnswerBody, json, plain, with_json};
use crate::observer::FleetEvent;

/// Request of `POST /dev/settings`. What is left out stays as it is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformControl {
    /// Time after which changes of the list become visible, in milliseconds.
    pub list_lag_ms: Option<u64>,
    /// Time that a reboot takes, in milliseconds.
    pub reboot_ms: Option<u64>,
    /// Rates beyond which calls are refused.
    pub rate_limits: Option<RateLimits>,
}

impl PlatformStandin {
    /// Changes settings.
    pub fn apply(&self, control: PlatformControl) {
        if let Some(lag) = control.list_lag_ms {
            self.set_list_lag(Duration::from_millis(lag));
        }
        if let Some(time) = control.reboot_ms {
            self.set_reboot_time(Duration::from_millis(time));
        }
        if let Some(limits) = control.rate_limits {
            self.set_rate_limits(limits);
        }
    }

    /// Handles the calls under `/dev/`, which faults do not concern.
    pub(super) fn control(
        &self,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Response<AnswerBody> {
        match (method, path) {
            (&Method::POST, "/dev/faults") => with_json(body, |faults: PlatformFaults| {
                self.set_faults(faults);
                faults
            }),
            (&Method::POST, "/dev/settings") => with_json(body, |control: PlatformControl| {
                self.apply(control);
                control
            }),
            (&Method::GET, "/dev/counters") => json(&self.counters()),
            (&Method::POST, "/dev/instances") => with_json(body, |instance: PlatformInstance| {
                self.put_instance(instance);
            }),
            (&Method::POST, "/dev/observer/events") => {
                with_json(body, |events: Vec<FleetEvent>| {
                    for event in events {
                        self.observer.record(event);
                    }
                })
            }
            (&Method::GET, "/dev/observer/violations") => json(&self.observer.violations()),
            _ => self.control_instance(method, path),
        }
    }

    fn control_instance(&self, method: &Method, path: &str) -> Response<AnswerBody> {
        if method == Method::GET {
            let status = named(path, "").and_then(|name| self.instance_status(&name));
            return match status {
                Some(status) => json(&status),
                None => plain(StatusCode::NOT_FOUND, Bytes::new()),
            };
        }
        let known = match *method {
            Method::DELETE => named(path, "").map(|name| self.remove_instance(&name)),
            Method::POST => self.control_named(path),
            _ => None,
        };
        let code = match known {
            Some(true) => StatusCode::OK,
            Some(false) | None => StatusCode::NOT_FOUND,
        };
        plain(code, Bytes::new())
    }

    fn control_named(&self, path: &str) -> Option<bool> {
        if let Some(name) = named(path, "/drain") {
            return Some(self.drain(&name));
        }
        let name = named(path, "/fail-next-reboot")?;
        self.fail_next_reboot(&name);
        Some(true)
    }
}

fn named(path: &str, suffix: &str) -> Option<InstanceName> {
    instance_in(path, "/dev/instances/", suffix)
}
