//! Simulation, in virtual time, of pools whose demand changes, and a comparison of rules that decide
//! the sizes of the pools.
//!
//! The dispatcher and the scaling planner are the real ones. Jobs arrive, their tasks run on
//! simulated instances, and instances move between pools. There are no networks, stores or entry
//! instances; a constant time for each job stands for them.

mod demand_family;
mod fleet_plan;
mod foresight;
mod pool_comparison;
mod pool_figures;
mod pool_world;
mod sim_instance;
mod sim_job;
mod sizing_rule;
mod world_instances;
mod world_trouble;

pub use demand_family::DemandFamily;
pub use fleet_plan::FleetPlan;
pub use pool_comparison::{ComparisonRow, Spread, compare_rules};
pub use pool_figures::PoolFigures;
pub use pool_world::simulate;
pub use sizing_rule::SizingRule;
pub use world_trouble::WorldTrouble;
