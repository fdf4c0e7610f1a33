//! Planning of moves between pools over a whole day.

mod count_plan;
mod day_demand;
mod day_plan;
mod demand_variant;
mod instance_roster;
mod plan_measures;
mod plan_policy;
mod row_baseline;

pub use count_plan::{CountPlan, PoolMove, StepPlan, plan_counts};
pub use day_demand::{DayDemand, DemandStep};
pub use day_plan::{DayPlan, PlannedMove, choose_instances, plan_day, plan_now};
pub use plan_measures::PlanMeasures;
pub use plan_policy::PlanPolicy;
pub use row_baseline::count_row_by_row;
