//! The commands, one file each.

mod config;
mod demo;
mod dev;
mod in_force;
mod instance;
mod key;
mod limit;
mod load;
mod maintenance;
mod measure;
mod measure_pools;
mod pool;
mod sheet;
mod sheet_report;
mod status;
mod submit;
mod zone;

pub(crate) use config::config;
pub(crate) use demo::demo;
pub(crate) use dev::{dev, entry_instance};
pub(crate) use instance::instance;
pub(crate) use key::key;
pub(crate) use limit::limit;
pub(crate) use load::load;
pub(crate) use maintenance::maintenance;
pub(crate) use measure::measure;
pub(crate) use pool::pool;
pub(crate) use sheet::sheet;
pub(crate) use status::status;
pub(crate) use submit::submit;
pub(crate) use zone::zone;
