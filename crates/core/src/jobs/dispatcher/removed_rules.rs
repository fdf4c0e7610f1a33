//! Rules of queues and teams that a configuration has removed while jobs of theirs are open. An accepted
//! job runs to its end under the last rules that are known for it.

use std::sync::Arc;

use super::JobDispatcher;
use crate::jobs::{FleetRules, JobOrder, QueueRule, TeamRule};

impl JobDispatcher {
    /// Replaces the rules of queues, pools and teams. Keeps those of removed queues and teams with open
    /// jobs.
    pub fn set_rules(&mut self, rules: Arc<FleetRules>) {
        let known = std::mem::replace(&mut self.rules, rules);
        let open = self.jobs.values().filter(|job| !job.phase.is_final());
        for order in open.map(|job| &job.order) {
            keep_queue(&mut self.rules, order, known.queues.get(&order.queue));
            let team = order.team.as_ref();
            let rule = team.and_then(|team| known.teams.get(team));
            keep_team(&mut self.rules, order, rule.copied());
            keep_accepted_rules(&mut self.rules, order);
        }
    }

    /// Applies the rules at the acceptance of a job if its queue or team has been removed since. Nothing
    /// applies before the first configuration is known.
    pub(super) fn keep_accepted_rules(&mut self, order: &JobOrder) {
        if self.rules.version > 0 {
            keep_accepted_rules(&mut self.rules, order);
        }
    }
}

fn keep_accepted_rules(rules: &mut Arc<FleetRules>, order: &JobOrder) {
    if let Some(accepted) = &order.rules {
        keep_queue(rules, order, Some(&accepted.queue));
        keep_team(rules, order, accepted.team);
    }
}

fn keep_queue(rules: &mut Arc<FleetRules>, order: &JobOrder, rule: Option<&QueueRule>) {
    if rules.queues.contains_key(&order.queue) {
        return;
    }
    if let Some(rule) = rule {
        let rules = Arc::make_mut(rules);
        rules.queues.insert(order.queue.clone(), rule.clone());
    }
}

fn keep_team(rules: &mut Arc<FleetRules>, order: &JobOrder, rule: Option<TeamRule>) {
    let Some(team) = &order.team else {
        return;
    };
    if rules.teams.contains_key(team) {
        return;
    }
    if let Some(rule) = rule {
        Arc::make_mut(rules).teams.insert(team.clone(), rule);
    }
}
