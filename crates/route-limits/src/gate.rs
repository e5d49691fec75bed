//! What routes come to while ops run: the limits that an op comes in with, and what is counted for them. Limits stay
//! with the op; counts are kept by the name of the rule that sets them, and so outlive a new file.

use crate::budget::{Place, Places, Times, Window};
use crate::limits::Budget;
use crate::pattern::Request;
use crate::table::Table;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use stileroute_dispatch::types::{Limits, Time};

/// A retry budget with what is counted against it.
#[derive(Clone, Debug)]
struct Purse {
    budget: Budget,
    window: Rc<RefCell<Window>>,
}

impl Purse {
    fn spent(&self, now: Time) -> Time {
        self.window.borrow_mut().spent(now, &self.budget)
    }
}

/// Places of a rule, with the bound that holds for this op.
#[derive(Clone, Debug)]
struct Seat {
    places: Rc<RefCell<Places>>,
    most: usize,
}

/// What an op came in with, to its end.
#[derive(Clone, Debug)]
pub struct Pass {
    pub limits: Limits,
    pub route: Rc<str>,
    /// The longest that the op, and one connection, may take.
    pub op: Time,
    pub connect: Option<Time>,
    purses: [Option<Purse>; 2],
    seat: Option<Seat>,
    pushes: usize,
    times: Option<Rc<RefCell<Times>>>,
}

/// What becomes of an op at the door.
pub enum Entry {
    In(Pass),
    /// It waits for a place until then.
    Waits(Pass, Time),
    /// No place, and no room to wait: come back after this.
    Full(Time),
}

/// The routes in force and what is counted.
#[derive(Default)]
pub struct Gate {
    table: Arc<Table>,
    /// Names, and what is counted, by rule.
    names: Vec<Rc<str>>,
    windows: HashMap<String, Rc<RefCell<Window>>>,
    places: HashMap<String, Rc<RefCell<Places>>>,
    times: Vec<Option<Rc<RefCell<Times>>>>,
    node: Option<Purse>,
    unnamed: Option<Rc<str>>,
    matching: Vec<u32>,
}

/// Under this name the node's own budget is counted.
const NODE: &str = "node";

impl Gate {
    pub fn new(table: Arc<Table>) -> Gate {
        let mut gate = Gate::default();
        gate.turn(table);
        gate
    }

    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Takes new routes. Counts of rules that go on under their names go on too.
    pub fn turn(&mut self, table: Arc<Table>) {
        self.names = table.rules.iter().map(|rule| Rc::from(rule.name.as_str())).collect();
        let copies = table.rules.iter().any(|rule| rule.limits.copy_after.is_some());
        // Own running times are kept only where some rule asks for a quantile of them.
        self.times.resize(if copies { table.categories() } else { 0 }, None);
        let budget = table.node_budget.as_ref().map(|set| set.value);
        self.node = budget.map(|budget| Purse { budget, window: self.window(NODE, budget.window) });
        let known = |name: &String| name == NODE || table.rules.iter().any(|rule| rule.name == *name);
        self.windows.retain(|name, _| known(name));
        self.places.retain(|name, _| known(name));
        self.table = table;
    }

    fn window(&mut self, name: &str, span: Time) -> Rc<RefCell<Window>> {
        if let Some(window) = self.windows.get(name) {
            window.borrow_mut().resize(span);
            return window.clone();
        }
        let window = Rc::new(RefCell::new(Window::new(span)));
        self.windows.insert(name.to_string(), window.clone());
        window
    }

    /// Lets an op in, has it wait, or turns it away.
    pub fn enter(&mut self, now: Time, ticket: u64, request: &Request) -> Entry {
        let mut matching = std::mem::take(&mut self.matching);
        let table = self.table.clone();
        table.matching(request, &mut matching);
        let held = table.effective(&matching);
        let value = |time: &Option<crate::table::Held<Time>>| time.as_ref().map(|held| held.set.value);
        let category = request.category;
        let effect = table.effect(category, &held);
        let own = stileroute_dispatch::types::Limits::default();
        let times = self.times_of(category);
        let copy_after =
            held.copy_after.as_ref().and_then(|held| times.as_ref()?.borrow().quantile(held.set.value));
        let limits = Limits {
            pushes: held.pushes.as_ref().map_or(own.pushes, |held| held.set.value),
            no_start: value(&held.no_start).unwrap_or(own.no_start),
            no_progress: value(&held.no_progress).unwrap_or(own.no_progress),
            pause: value(&held.pause).unwrap_or(0),
            pause_spread: held.pause_spread.as_ref().map_or(0.0, |held| held.set.value),
            copy_after: copy_after.unwrap_or(own.copy_after),
            kinds: held.kinds.as_ref().map_or(own.kinds, |held| held.set.value),
            domains: held.domains.as_ref().map_or(own.domains, |held| held.set.value),
            effect: (!matching.is_empty()).then_some(effect),
            over_budget: 0,
        };
        let purse = held.budget.as_ref().map(|held| {
            let budget = held.set.value;
            Purse { budget, window: self.window(&table.rules[held.rule as usize].name, budget.window) }
        });
        let seat = held.in_hand.as_ref().map(|held| {
            let name = &table.rules[held.rule as usize].name;
            let places = self.places.entry(name.clone()).or_default().clone();
            Seat { places, most: held.set.value }
        });
        let first = matching.iter().find(|n| table.rules[**n as usize].kind == crate::table::Kind::Route);
        let route = match first {
            Some(number) => self.names[*number as usize].clone(),
            None => self.unnamed.get_or_insert_with(|| Rc::from("-")).clone(),
        };
        let pass = Pass {
            limits,
            route,
            op: value(&held.op).unwrap_or(Time::MAX / 4),
            connect: value(&held.connect),
            purses: [purse, self.node.clone()],
            seat,
            pushes: 0,
            times,
        };
        let (wait, waiting) =
            (value(&held.wait).unwrap_or(0), held.waiting.as_ref().map_or(64, |held| held.set.value));
        self.matching = matching;
        let Some(seat) = &pass.seat else { return Entry::In(pass) };
        let place = seat.places.borrow_mut().ask(now, ticket, seat.most, waiting, wait);
        match place {
            Place::In => Entry::In(pass),
            Place::Waits(until) => Entry::Waits(pass, until),
            Place::Full(back) => Entry::Full(back),
        }
    }

    fn times_of(&mut self, category: usize) -> Option<Rc<RefCell<Times>>> {
        let times = self.times.get_mut(category)?;
        Some(times.get_or_insert_with(Rc::default).clone())
    }
}

impl Pass {
    /// Before the module is asked: how long until a further push is within the budgets; zero for now.
    pub fn over_budget(&self, now: Time) -> Time {
        if self.pushes == 0 {
            return 0;
        }
        self.purses.iter().flatten().map(|purse| purse.spent(now)).max().unwrap_or(0)
    }

    /// A push goes out.
    pub fn pushed(&mut self, now: Time) {
        for purse in self.purses.iter().flatten() {
            let mut window = purse.window.borrow_mut();
            if self.pushes == 0 {
                window.first(now);
            } else {
                window.further(now);
            }
        }
        self.pushes += 1;
    }

    /// An op was acked after its push had run so long.
    pub fn ran(&self, time: Time) {
        if let Some(times) = &self.times {
            times.borrow_mut().add(time);
        }
    }

    /// The op is over, or leaves without having had a place. Who has its place now.
    pub fn leave(&mut self, now: Time, ticket: u64) -> Option<u64> {
        let seat = self.seat.take()?;
        let mut places = seat.places.borrow_mut();
        if places.quit(ticket) {
            return None;
        }
        places.leave(now, seat.most)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Ground;
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
        let ground =
            Ground { categories: vec![("c".to_string(), 9 * SECOND, own)], terms, ..Ground::default() };
        let read = stileroute_operator_file::read("t.toml", text, |keys| Table::read(keys, &ground));
        Arc::new(read.unwrap_or_else(|faults| panic!("{}", faults[0])))
    }

    fn enter(gate: &mut Gate, now: Time, ticket: u64) -> Entry {
        let request = Request { path: "/a", method: "POST", category: 0, tenant: None, header: &|_| None };
        gate.enter(now, ticket, &request)
    }

    #[test]
    fn budgets_and_places_outlive_a_new_file_and_limits_stay_with_the_op() {
        let text =
            "[defaults]\npushes = 2\nretry-budget = { part = 0.0, window = '20s', least = 1 }\nin-hand = 1\n";
        let mut gate = Gate::new(table(text));
        let Entry::In(mut first) = enter(&mut gate, 0, 1) else { panic!("no place") };
        first.pushed(0);
        assert_eq!(first.over_budget(0), 0);
        first.pushed(SECOND);
        // The one free further push is spent, and the one place taken; a new file changes neither count.
        gate.turn(table(
            &text.replace("pushes = 2", "pushes = 4").replace("window = '20s'", "window = '40s'"),
        ));
        assert!(first.over_budget(2 * SECOND) > 0 && first.limits.pushes == 2);
        assert!(matches!(enter(&mut gate, 2 * SECOND, 2), Entry::Full(back) if back > 0));
        assert_eq!(first.leave(2 * SECOND, 1), None);
        let Entry::In(mut second) = enter(&mut gate, 3 * SECOND, 3) else { panic!("no place") };
        second.pushed(3 * SECOND);
        assert!(second.over_budget(3 * SECOND) > 0 && second.limits.pushes == 4);
        // One that asks for more places finds them at once; a rule that is gone takes its counts with it.
        gate.turn(table("[defaults]\nin-hand = 2\n"));
        assert!(matches!(enter(&mut gate, 4 * SECOND, 4), Entry::In(_)));
        gate.turn(table("[category.c]\nin-hand = 1\n"));
        assert!(matches!(enter(&mut gate, 5 * SECOND, 5), Entry::In(_)));
    }
}
