//! Job queues of one entry instance: fair sharing between the teams of a pool, wait estimates and
//! timers.

mod flow_record;
mod job_list;
mod run_correction;
mod service_meter;
mod slot_targets;
mod timer_queue;
mod usage_meter;

pub(crate) use flow_record::{FlowBlock, FlowRecord, NOT_LISTED};
pub(crate) use job_list::{JobLinks, JobList};
pub(crate) use run_correction::RunCorrection;
pub(crate) use service_meter::ServiceMeter;
pub use slot_targets::{SlotDemand, slot_targets};
pub(crate) use timer_queue::{TimerEvent, TimerQueue};
pub(crate) use usage_meter::{UsageMeter, decay_with_half_life};
