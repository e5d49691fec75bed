//! The list in simulated time.

use super::*;

impl Sim<'_> {
    /// Tells every node, late as the list is.
    pub(super) fn tell(&mut self, whole: bool, lines: Vec<Listed>) {
        self.version += 1;
        self.before.push((self.now, self.listed.clone()));
        let lines = Rc::new(lines);
        for node in 0..self.nodes.len() {
            self.news(node, whole, lines.clone());
        }
    }

    pub(super) fn news(&mut self, node: usize, whole: bool, lines: Rc<Vec<Listed>>) {
        let [least, most] = self.plan.fleet.list.late_s;
        let late = seconds(self.chance.random_range(least..=most)) + self.weather.list_late().unwrap_or(0);
        // News doesn't overtake older news.
        let own = &mut self.nodes[node];
        own.news_by = own.news_by.max(self.now + late);
        let at = own.news_by;
        self.push_event(at, node, Coming::News(self.version, whole, lines));
    }

    pub(super) fn unlist(&mut self, x: usize) {
        if self.listed[x].active {
            self.listed[x].active = false;
            self.tell(false, vec![self.listed[x]]);
        }
    }

    pub(super) fn weights(&mut self) {
        let every = seconds(self.plan.fleet.list.live_weights_s);
        for x in 0..self.machines.len() {
            let (held, _) = self.machines[x].load();
            self.listed[x].weight = 1.0 / (1.0 + held as f64 / self.machines[x].spec.slots);
        }
        let lines: Vec<Listed> = self.listed.iter().filter(|line| line.active).copied().collect();
        let lines = Rc::new(lines);
        for node in 0..self.nodes.len() {
            let at = self.nodes[node].news_by.max(self.now + every);
            self.push_event(at, node, Coming::News(self.version, false, lines.clone()));
        }
        if self.now < seconds(self.plan.seconds) {
            self.push_event(self.now + every, 0, Coming::Weights);
        }
    }
}
