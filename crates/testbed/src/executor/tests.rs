use super::*;

fn machine(slots: f64, order: &str, extra: &str) -> ExecutorModel {
    let text = format!(
        "name = 'm'\nseconds = 1.0\nseeds = [1]\n[fleet]\n{extra}\n[[fleet.kind]]\nname = 'k'\ncount = 1\n\
         slots = {slots:?}\nspeed = [1.0, 1.0]\nqueue = '{order}'\nqueue-limit = 3\n[nodes]\ncount = 1\n\
         [load]\nper-second = 1.0\n[[category]]\nname = 'c'\npart = 1.0\nwork-ms = 1.0\ntarget-ms = 10.0\n\
         ttl-ms = 100.0\neffect = 'redeliverable'\n"
    );
    let plan = crate::experiment::read("m.toml", &text).unwrap().plan;
    let spec = specs(&plan, 1).remove(0);
    ExecutorModel::new(&plan, spec, 100, None)
}

fn job(id: u64, work: f64, priority: i64) -> Job {
    let redeliverable = priority == 0;
    Job { id, slots: 1.0, memory: 1.0, work, whole: work, priority, redeliverable, fails: false }
}

#[test]
fn jobs_wait_for_a_slot_and_priority_suspends_what_may_rerun() {
    use ExecutorEvent::*;
    // Order of the queue, and what happens until time 1000 with jobs of 100, 50 and, of priority 5, 30.
    let cases = [
        ("first-come", vec![Started(1), Done(1), Started(2), Done(2), Started(3), Done(3)]),
        ("priority", vec![Started(1), Started(3), Done(3), Done(1), Started(2), Done(2)]),
    ];
    for (order, expected) in cases {
        let (mut machine, mut out) = (machine(1.0, order, ""), Vec::new());
        machine.take(0, job(1, 100.0, 0), &mut out);
        machine.take(1, job(2, 50.0, 0), &mut out);
        machine.take(2, job(3, 30.0, 5), &mut out);
        machine.advance(1000, &mut out);
        if order == "priority" {
            // A suspended job goes back to the end of its priority, and keeps what was done of it.
            assert_eq!(&out[..3], &expected[..3]);
            assert_eq!(out.len(), expected.len());
        } else {
            assert_eq!(out, expected);
        }
        assert_eq!(machine.done.round(), 180.0);
    }
}

#[test]
fn a_full_queue_hands_back_and_a_drain_too() {
    let (mut machine, mut out) = (machine(1.0, "first-come", ""), Vec::new());
    (1..=5).for_each(|id| machine.take(0, job(id, 100.0, 0), &mut out));
    assert_eq!(out, [ExecutorEvent::Started(1), ExecutorEvent::Returned(5)]);
    out.clear();
    machine.drain(10, &mut out);
    assert_eq!(out, [2, 3, 4].map(ExecutorEvent::Returned));
    assert_eq!(machine.cancel(20, 1, &mut out), Some(true));
    assert_eq!(machine.cancel(20, 1, &mut out), None);
}

#[test]
fn halted_nothing_moves_and_slow_takes_longer() {
    let (mut machine, mut out) = (machine(1.0, "first-come", ""), Vec::new());
    machine.take(0, job(1, 100.0, 0), &mut out);
    machine.set(50, Condition { slow: 1.0, halted: true }, &mut out);
    assert_eq!(machine.next(), None);
    machine.set(1000, Condition { slow: 5.0, halted: false }, &mut out);
    assert_eq!(machine.next(), Some(1250));
    machine.advance(1250, &mut out);
    assert_eq!(out, [ExecutorEvent::Started(1), ExecutorEvent::Done(1)]);
}

#[test]
fn a_new_connection_takes_a_slot_for_a_while_and_is_nobody_s_push() {
    let (mut machine, mut out) = (machine(1.0, "first-come", ""), Vec::new());
    machine.open_connection(0, 50.0, &mut out);
    machine.take(0, job(1, 100.0, 0), &mut out);
    machine.advance(1000, &mut out);
    assert_eq!(machine.at, 1000);
    let pushes: Vec<ExecutorEvent> = out.iter().copied().filter(|h| !h.is_handshake()).collect();
    assert_eq!(pushes, [ExecutorEvent::Started(1), ExecutorEvent::Done(1)]);
    assert_eq!((out.len(), machine.done.round()), (4, 150.0));
}

#[test]
fn a_cold_executor_falls_over_and_stays_down() {
    let extra =
        "[fleet.cold]\nstart-share = 0.5\nwarm-within-s = 10.0\noverload-factor = 2.0\ntip-after-s = 1.0";
    let (mut machine, mut out) = (machine(2.0, "first-come", extra), Vec::new());
    machine.kill(0, &mut out);
    assert!(machine.start(0) && machine.cold(1));
    // It can do 1.0 s of work in a second at first: twice that tips it, with a bit for warming.
    machine.take(10, job(1, 10_000.0, 0), &mut out);
    machine.take(20, job(2, 10_000.0, 0), &mut out);
    assert!(!out.contains(&ExecutorEvent::Fallen), "{out:?}");
    machine.take(30, job(3, 10_000.0, 0), &mut out);
    assert!(out.ends_with(&[ExecutorEvent::Fallen]) && out.len() == 6, "{out:?}");
    assert!(!machine.start(5000) && !machine.takes());
}

#[test]
fn reports_are_as_old_as_they_may_be() {
    let (mut machine, mut out) = (machine(2.0, "first-come", ""), Vec::new());
    let all = [GaugeName::Held, GaugeName::Waiting, GaugeName::Busy, GaugeName::Free];
    machine.take(0, job(1, 100.0, 0), &mut out);
    machine.take(50, job(2, 100.0, 0), &mut out);
    assert_eq!(machine.report(&all), [0.0, 0.0, 0.0, 2.0]);
    machine.advance(99, &mut out);
    assert_eq!(machine.report(&all), [0.0, 0.0, 0.0, 2.0]);
    machine.advance(100, &mut out);
    assert_eq!(machine.report(&all), [2.0, 0.0, 1.0, 0.0]);
}
