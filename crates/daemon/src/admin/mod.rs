//! Operators' HTTP interface.

mod admin_service;
mod change_append;
mod control_metrics;
mod operator_check;
mod status_report;

pub(crate) use admin_service::AdminService;
pub(crate) use control_metrics::control_metrics;
