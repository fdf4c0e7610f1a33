//! Queues of one entry instance: fair sharing between the teams of a pool, waits and deadlines.

mod flow_record;
mod job_list;
mod run_correction;
mod service_meter;
mod timer_queue;
mod usage_meter;
mod water_level;

pub(crate) use flow_record::{FlowBlock, FlowRecord, NOT_LISTED};
pub(crate) use job_list::{JobLinks, JobList};
pub(crate) use run_correction::RunCorrection;
pub(crate) use service_meter::ServiceMeter;
pub(crate) use timer_queue::{TimerEvent, TimerQueue};
pub(crate) use usage_meter::{UsageMeter, decay_with_half_life};
pub use water_level::{SlotDemand, slot_targets};
