//! Admission of requests under the routes in force. An admitted request keeps the limits that it was admitted with. Counters of
//! budgets and of in-flight slots are kept by the name of the rule that sets them, so they survive a reload of the file.

use crate::budget::{InFlightSlots, PushWindow, RunTimes, SlotOutcome};
use crate::limits::RetryBudget;
use crate::pattern::Request;
use crate::table::Table;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use stileroute_dispatch::types::{Limits, Time};

/// A retry budget, and the window that counts the pushes of all requests under it.
#[derive(Clone, Debug)]
struct TrackedBudget {
    budget: RetryBudget,
    window: Rc<RefCell<PushWindow>>,
}

impl TrackedBudget {
    fn retry_delay(&self, now: Time) -> Time {
        self.window.borrow_mut().retry_delay(now, &self.budget)
    }
}

/// The in-flight slots of a rule, with the limit that applies to this request.
#[derive(Clone, Debug)]
struct SlotReservation {
    slots: Rc<RefCell<InFlightSlots>>,
    max_in_flight: usize,
}

/// An admitted or queued request: the limits and counters that apply to it until it ends.
#[derive(Clone, Debug)]
pub struct Permit {
    pub limits: Limits,
    pub route: Rc<str>,
    /// The longest that the whole request may take; `connect_timeout` limits the set-up of one connection
    /// to an executor.
    pub op_timeout: Time,
    pub connect_timeout: Option<Time>,
    tracked_budgets: [Option<TrackedBudget>; 2],
    reservation: Option<SlotReservation>,
    push_count: usize,
    run_times: Option<Rc<RefCell<RunTimes>>>,
}

/// The answer to a request for admission.
pub enum Admission {
    Admitted(Permit),
    /// No in-flight slot is free: the request is queued until this time at the latest.
    Queued(Permit, Time),
    /// No in-flight slot is free and the queue is full: the client may retry after this delay.
    Rejected(Time),
}

/// The routes in force, and the counters of their limits.
#[derive(Default)]
pub struct AdmissionControl {
    table: Arc<Table>,
    /// The name of each rule, by its number in the table.
    rule_names: Vec<Rc<str>>,
    /// The pushes counted for retry budgets, by the name of the rule that sets the budget.
    windows: HashMap<String, Rc<RefCell<PushWindow>>>,
    /// The in-flight slots, by the name of the rule that sets their limit.
    slots: HashMap<String, Rc<RefCell<InFlightSlots>>>,
    /// The recorded run times, by category.
    run_times: Vec<Option<Rc<RefCell<RunTimes>>>>,
    node_budget: Option<TrackedBudget>,
    /// The name `-` that is logged for requests that match no route, shared by all of them.
    no_route_name: Option<Rc<str>>,
    /// The numbers of the rules that match a request: a buffer that is reused for each request.
    matching_rules: Vec<u32>,
}

/// The name under which the pushes of the whole node are counted.
const NODE_BUDGET_NAME: &str = "node";

impl AdmissionControl {
    pub fn new(table: Arc<Table>) -> AdmissionControl {
        let mut control = AdmissionControl::default();
        control.replace_table(table);
        control
    }

    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Replaces the routes, after a reload of the file. A rule whose name is in the new table too keeps its counters; those of
    /// other rules are dropped.
    pub fn replace_table(&mut self, table: Arc<Table>) {
        self.rule_names = table.rules.iter().map(|rule| Rc::from(rule.name.as_str())).collect();
        let hedging = table.rules.iter().any(|rule| rule.limits.hedge_quantile.is_some());
        // Run times are recorded only if a rule sends hedged pushes after a quantile of them (`copy-after`).
        self.run_times.resize(if hedging { table.category_count() } else { 0 }, None);
        let budget = table.node_budget.as_ref().map(|setting| setting.value);
        self.node_budget = budget
            .map(|budget| TrackedBudget { budget, window: self.window(NODE_BUDGET_NAME, budget.window) });
        let is_known =
            |name: &String| name == NODE_BUDGET_NAME || table.rules.iter().any(|rule| rule.name == *name);
        self.windows.retain(|name, _| is_known(name));
        self.slots.retain(|name, _| is_known(name));
        self.table = table;
    }

    fn window(&mut self, name: &str, length: Time) -> Rc<RefCell<PushWindow>> {
        if let Some(window) = self.windows.get(name) {
            window.borrow_mut().resize(length);
            return window.clone();
        }
        let window = Rc::new(RefCell::new(PushWindow::new(length)));
        self.windows.insert(name.to_string(), window.clone());
        window
    }

    /// Admits a request, queues it or rejects it.
    pub fn admit(&mut self, now: Time, ticket: u64, request: &Request) -> Admission {
        let mut matching_rules = std::mem::take(&mut self.matching_rules);
        let table = self.table.clone();
        table.matching(request, &mut matching_rules);
        let effective = table.effective(&matching_rules);
        let limit_value = |limit: &Option<crate::table::EffectiveLimit<Time>>| {
            limit.as_ref().map(|limit| limit.setting.value)
        };
        let category = request.category;
        let effect = table.effect(category, &effective);
        let unlimited = stileroute_dispatch::types::Limits::default();
        let run_times = self.run_times_of(category);
        let copy_after = effective
            .hedge_quantile
            .as_ref()
            .and_then(|limit| run_times.as_ref()?.borrow().quantile(limit.setting.value));
        let limits = Limits {
            pushes: effective.max_pushes.as_ref().map_or(unlimited.pushes, |limit| limit.setting.value),
            no_start: limit_value(&effective.start_timeout).unwrap_or(unlimited.no_start),
            no_progress: limit_value(&effective.progress_timeout).unwrap_or(unlimited.no_progress),
            pause: limit_value(&effective.retry_backoff).unwrap_or(0),
            pause_spread: effective.backoff_spread.as_ref().map_or(0.0, |limit| limit.setting.value),
            copy_after: copy_after.unwrap_or(unlimited.copy_after),
            kinds: effective.kinds.as_ref().map_or(unlimited.kinds, |limit| limit.setting.value),
            domains: effective.domains.as_ref().map_or(unlimited.domains, |limit| limit.setting.value),
            effect: (!matching_rules.is_empty()).then_some(effect),
            over_budget: 0,
        };
        let tracked_budget = effective.retry_budget.as_ref().map(|limit| {
            let budget = limit.setting.value;
            TrackedBudget {
                budget,
                window: self.window(&table.rules[limit.rule as usize].name, budget.window),
            }
        });
        let reservation = effective.max_in_flight.as_ref().map(|limit| {
            let name = &table.rules[limit.rule as usize].name;
            let slots = self.slots.entry(name.clone()).or_default().clone();
            SlotReservation { slots, max_in_flight: limit.setting.value }
        });
        let first_route =
            matching_rules.iter().find(|n| table.rules[**n as usize].kind == crate::table::RuleKind::Route);
        let route = match first_route {
            Some(number) => self.rule_names[*number as usize].clone(),
            None => self.no_route_name.get_or_insert_with(|| Rc::from("-")).clone(),
        };
        let permit = Permit {
            limits,
            route,
            op_timeout: limit_value(&effective.op_timeout).unwrap_or(Time::MAX / 4),
            connect_timeout: limit_value(&effective.connect_timeout),
            tracked_budgets: [tracked_budget, self.node_budget.clone()],
            reservation,
            push_count: 0,
            run_times,
        };
        let (max_queue_wait, max_queued) = (
            limit_value(&effective.max_queue_wait).unwrap_or(0),
            effective.max_queued.as_ref().map_or(64, |limit| limit.setting.value),
        );
        self.matching_rules = matching_rules;
        let Some(reservation) = &permit.reservation else { return Admission::Admitted(permit) };
        let outcome = reservation.slots.borrow_mut().acquire(
            now,
            ticket,
            reservation.max_in_flight,
            max_queued,
            max_queue_wait,
        );
        match outcome {
            SlotOutcome::Acquired => Admission::Admitted(permit),
            SlotOutcome::Queued(until) => Admission::Queued(permit, until),
            SlotOutcome::Rejected(retry_after) => Admission::Rejected(retry_after),
        }
    }

    fn run_times_of(&mut self, category: usize) -> Option<Rc<RefCell<RunTimes>>> {
        let run_times = self.run_times.get_mut(category)?;
        Some(run_times.get_or_insert_with(Rc::default).clone())
    }
}

impl Permit {
    /// How long until the retry budgets allow another push; zero if they allow it now. The caller sets this in the request's
    /// limits before each call of the dispatcher. The first push needs no budget.
    pub fn retry_delay(&self, now: Time) -> Time {
        if self.push_count == 0 {
            return 0;
        }
        self.tracked_budgets
            .iter()
            .flatten()
            .map(|tracked_budget| tracked_budget.retry_delay(now))
            .max()
            .unwrap_or(0)
    }

    /// Counts a push that is sent, in the budgets of its rule and of the node.
    pub fn record_push(&mut self, now: Time) {
        for tracked_budget in self.tracked_budgets.iter().flatten() {
            let mut window = tracked_budget.window.borrow_mut();
            if self.push_count == 0 {
                window.record_first(now);
            } else {
                window.record_retry(now);
            }
        }
        self.push_count += 1;
    }

    /// Records the run time of an acknowledged push.
    pub fn record_run_time(&self, run_time: Time) {
        if let Some(run_times) = &self.run_times {
            run_times.borrow_mut().record(run_time);
        }
    }

    /// Releases the request's slot, or its place in the queue. Returns the ticket of the queued request that gets the slot.
    pub fn release(&mut self, now: Time, ticket: u64) -> Option<u64> {
        let reservation = self.reservation.take()?;
        let mut slots = reservation.slots.borrow_mut();
        if slots.cancel_wait(ticket) {
            return None;
        }
        slots.release(now, reservation.max_in_flight)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::PlatformSettings;
    use stileroute_dispatch::types::{Category, Effect, InstanceSettings, SECOND};

    fn table(text: &str) -> Arc<Table> {
        let own = Category {
            target: SECOND,
            stretch: 0.0,
            effect: Effect::Redeliverable,
            benefit: 1.0,
            late: 0.0,
            kind: None,
            priority: 0,
        };
        let terms = InstanceSettings { max_pushes: 5, ..InstanceSettings::default() };
        let platform = PlatformSettings {
            categories: vec![("c".to_string(), 9 * SECOND, own)],
            terms,
            ..PlatformSettings::default()
        };
        let read = stileroute_operator_file::read("t.toml", text, |keys| Table::read(keys, &platform));
        Arc::new(read.unwrap_or_else(|faults| panic!("{}", faults[0])))
    }

    fn enter(control: &mut AdmissionControl, now: Time, ticket: u64) -> Admission {
        let request = Request { path: "/a", method: "POST", category: 0, tenant: None, header: &|_| None };
        control.admit(now, ticket, &request)
    }

    #[test]
    fn counters_survive_a_reload_and_admitted_requests_keep_their_limits() {
        let text =
            "[defaults]\npushes = 2\nretry-budget = { part = 0.0, window = '20s', least = 1 }\nin-hand = 1\n";
        let mut control = AdmissionControl::new(table(text));
        let Admission::Admitted(mut first) = enter(&mut control, 0, 1) else { panic!("not admitted") };
        first.record_push(0);
        assert_eq!(first.retry_delay(0), 0);
        first.record_push(SECOND);
        // The budget's minimum of one retry is used up, and the one slot is taken; a reload changes neither counter.
        control.replace_table(table(
            &text.replace("pushes = 2", "pushes = 4").replace("window = '20s'", "window = '40s'"),
        ));
        assert!(first.retry_delay(2 * SECOND) > 0 && first.limits.pushes == 2);
        assert!(
            matches!(enter(&mut control, 2 * SECOND, 2), Admission::Rejected(retry_after) if retry_after > 0)
        );
        assert_eq!(first.release(2 * SECOND, 1), None);
        let Admission::Admitted(mut second) = enter(&mut control, 3 * SECOND, 3) else {
            panic!("not admitted")
        };
        second.record_push(3 * SECOND);
        assert!(second.retry_delay(3 * SECOND) > 0 && second.limits.pushes == 4);
        // A raised in-flight limit applies at once, and a rule that is gone loses its counters.
        control.replace_table(table("[defaults]\nin-hand = 2\n"));
        assert!(matches!(enter(&mut control, 4 * SECOND, 4), Admission::Admitted(_)));
        control.replace_table(table("[category.c]\nin-hand = 1\n"));
        assert!(matches!(enter(&mut control, 5 * SECOND, 5), Admission::Admitted(_)));
    }
}
