//! A fleet that is cut into two halves, each with machines of every role: the smaller one has a control node, a store and an edge.

use crate::client::Plan;
use crate::control::Numbers;
use crate::fleet::{Plain, Role};
use crate::history::{Answered, History, Isolation, Micros, SECOND};
use crate::isolation::press_on;
use crate::schedule::{Schedule, TAKEN_OVER};
use crate::setup::Running;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Longer than others wait before they take over, and the messages that fall due meanwhile.
const SPAN_MS: u64 = 7_000;
/// What is sent just before a cut falls due when the smaller half starts nothing more.
const DELAY_MS: u64 = 4_000;
const WAITING: u64 = 120;
/// So long after the cut the first messages fall due that the smaller half must no longer start ([`crate::judge::FENCED`]), and the
/// last before the larger one takes over.
const FENCED_DELAYS_MS: std::ops::Range<u64> = 2_400..3_600;
const FENCED_DELAY_STEP_MS: usize = 100;
/// So many fall due at each step.
const DUE_AT_ONCE: u64 = 16;
/// What was sent at once has been accepted after so long.
const BURST_MS: u64 = 100;
/// From then on the smaller half, with one store, accepts nothing, and the larger one everything.
const SETTLED: Micros = 3 * SECOND;
/// So many messages are accepted by the larger half in the time that is left, of some 25 a second.
const ACCEPTED: usize = 40;
/// A second loss in the larger half begins so long after the cut, and lasts over its end.
const OVERLAP_MS: u64 = 3_500;
const RECOVERED_MS: u64 = 4_500;

pub fn play(mut running: Running, numbers: &Numbers) -> Plain<History> {
    let schedule = &mut running.schedule;
    schedule.sleep(1000);
    let primary = schedule.primary()?;
    schedule.halve(primary, false, numbers)?;
    let follower = schedule.follower()?;
    schedule.halve(follower, false, numbers)?;
    let follower = schedule.follower()?;
    schedule.halve(follower, true, numbers)?;
    schedule.lose_all_in_halves(numbers)?;
    running.end_load();
    running.schedule.sleep(2500);
    Ok(running.end(&[0, 1, 2], Duration::from_secs(12)))
}

impl Schedule {
    fn follower(&self) -> Plain<usize> {
        let primary = self.primary()?;
        let mut here = self.fleet.here(Role::Core).into_iter();
        here.find(|at| *at != primary).ok_or_else(|| "no control node follows".to_string())
    }

    /// The machines of one place are cut off from all others, with an operator on each side. Where losses overlap, a store of the
    /// larger half is killed meanwhile, and is back only after the halves have met.
    fn halve(&mut self, alone: usize, overlapping: bool, numbers: &Numbers) -> Plain<()> {
        let plan = Plan { delay_ms: DELAY_MS, ..Plan::to("/alder/") };
        self.clients.burst(&plan, alone, WAITING);
        let smaller = self.fleet.control(alone);
        let over = Arc::new(AtomicBool::new(false));
        self.send_due_behind_the_fence(alone);
        let from = self.recorder.now();
        self.fleet.halve(alone, true);
        self.say(&format!("core-{0}, store-{0} and edge-{0} are cut off from the others", alone + 1));
        let other_side = press_on(self, smaller, numbers, &over);
        self.operator.first =
            self.fleet.here(Role::Core).into_iter().find(|at| *at != alone).map(|at| self.fleet.control(at));
        self.change_acknowledged("the fleet is cut into halves", numbers);
        let lost = if overlapping { Some(self.lose_another_store(alone, from)) } else { None };
        self.sleep(SPAN_MS.saturating_sub((self.recorder.now() - from) / 1000));
        if !overlapping {
            let took = self.waited(from);
            self.take("until all that the smaller half held had run in the larger", Some(took), TAKEN_OVER);
        }
        self.fleet.halve(alone, false);
        let to = self.recorder.now();
        self.record_halving(smaller.to_string(), from, to);
        over.store(true, Ordering::Relaxed);
        let _ = other_side.join();
        self.say("the halves meet");
        if let Some((store, from)) = lost {
            self.fleet.start(Role::Store, store)?;
            self.trouble(from);
            self.say(&format!("store-{} is started again", store + 1));
        } else {
            self.accepted_by_halves(alone, from + SETTLED, to);
        }
        self.sleep(RECOVERED_MS);
        self.change_acknowledged("the halves have met", numbers);
        self.agreed("the halves have met");
        Ok(())
    }

    /// Messages to the smaller half that fall due when it may start nothing, and the larger one has not taken over yet.
    fn send_due_behind_the_fence(&self, alone: usize) {
        for delay_ms in FENCED_DELAYS_MS.step_by(FENCED_DELAY_STEP_MS) {
            self.clients.burst(&Plan { delay_ms, ..Plan::to("/alder/") }, alone, DUE_AT_ONCE);
        }
        self.sleep(BURST_MS);
    }

    fn record_halving(&self, control: String, from: Micros, to: Micros) {
        let mut history = self.recorder.write();
        history.halvings.push((from, to));
        history.isolations.push(Isolation { control, from, to });
    }

    /// The larger half has one store left: nothing can have its replicas now, and nothing that was accepted may be lost.
    fn lose_another_store(&mut self, alone: usize, cut: Micros) -> (usize, Micros) {
        self.sleep(OVERLAP_MS.saturating_sub((self.recorder.now() - cut) / 1000));
        let store = self.fleet.here(Role::Store).into_iter().find(|at| *at != alone).unwrap_or(0);
        let from = self.recorder.now();
        self.fleet.kill(Role::Store, store);
        self.say(&format!("store-{} of the larger half is killed", store + 1));
        (store, from)
    }

    /// A half accepts what can have its replicas there, and nothing else.
    fn accepted_by_halves(&self, alone: usize, from: Micros, to: Micros) {
        let history = self.recorder.write();
        let within = |at: Micros| (from..=to).contains(&at);
        let accepted = history
            .sent
            .iter()
            .filter(|sent| within(sent.at) && within(sent.answered_at))
            .filter(|sent| sent.answered == Answered::Status(202));
        let (smaller, larger): (Vec<_>, Vec<_>) = accepted.partition(|sent| sent.edge == alone);
        let (smaller, larger) = (smaller.len(), larger.len());
        drop(history);
        self.say(&format!("accepted meanwhile: {larger} by the larger half, {smaller} by the smaller"));
        self.seen(&format!("{smaller} messages were accepted by a half with one store"), smaller == 0);
        self.seen(&format!("{larger} messages were accepted by the larger half"), larger >= ACCEPTED);
    }

    /// All processes are killed while the fleet is in halves, and the halves meet as they start again.
    fn lose_all_in_halves(&mut self, numbers: &Numbers) -> Plain<()> {
        let alone = self.primary()?;
        let plan = Plan { delay_ms: DELAY_MS, ..Plan::to("/alder/") };
        self.clients.burst(&plan, alone, WAITING);
        let from = self.recorder.now();
        self.fleet.halve(alone, true);
        self.say("the fleet is in halves, with the primary in the smaller one");
        self.sleep(2500);
        self.change_acknowledged("the fleet is in halves, before all are killed", numbers);
        let killed = self.recorder.now();
        self.fleet.kill_all();
        self.say("all nine are killed");
        self.sleep(1000);
        self.fleet.halve(alone, false);
        self.record_halving(self.fleet.control(alone).to_string(), from, self.recorder.now());
        self.fleet.start_all()?;
        self.trouble(killed);
        self.sleep(RECOVERED_MS);
        self.change_acknowledged("all were killed in halves", numbers);
        self.agreed("all were killed in halves");
        Ok(())
    }
}
