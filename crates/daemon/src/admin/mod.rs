//! Operators' HTTP interface.

mod admin_service;
mod change_append;
mod operator_check;
mod status_report;

pub(crate) use admin_service::AdminService;
