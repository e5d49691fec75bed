//! Tests of checkpoints that are killed or fail at each of their steps.

mod support;

use std::collections::BTreeSet;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use stileroute_wal::{verify, StateMachine};
use support::{append_through_checkpoint, Keys, TemporaryFolder, CHECKPOINT_STEPS, LOG};

#[test]
fn a_checkpoint_killed_at_any_step_leaves_exactly_the_current_state() {
    let (folder, copies) = (TemporaryFolder::new(), Arc::new(Mutex::new(Vec::new())));
    let (path, hook_copies) = (folder.0.clone(), copies.clone());
    let (log, all) = append_through_checkpoint(&folder, move |step| {
        if CHECKPOINT_STEPS.contains(&step) {
            hook_copies.lock().unwrap().push((step, TemporaryFolder::copy_of(&path)));
        }
        Ok(())
    });
    assert!(log.wal.statistics().checkpoints >= 1);
    log.wal.close();
    assert_eq!(folder.recover().unwrap(), all);
    let files = folder.files();
    assert!(!files.contains_key(LOG), "{:?}", files.keys());
    let bytes: usize = files.values().map(Vec::len).sum();
    assert!(bytes < 5000, "{bytes} bytes remain of about 9000");

    let copies = copies.lock().unwrap();
    for expected_step in CHECKPOINT_STEPS {
        assert!(
            copies.iter().any(|(step, _)| *step == expected_step),
            "step {expected_step:?} was never reached"
        );
    }
    for (step, copy) in copies.iter() {
        // The test writes ten keys in turn, so the current values of the ten keys come from the last ten appends,
        // whichever step the copy was taken at.
        let mut read = Keys::default();
        let report = verify(&copy.0, &mut |record| read.apply(record)).unwrap();
        let state = copy.recover().unwrap();
        assert_eq!(read, state, "{step:?}: {report}");
        if state == Keys::default() {
            assert!(
                CHECKPOINT_STEPS[..3].contains(step),
                "{step:?}: the state is empty, but the step is not one of the opening"
            );
            continue;
        }
        let values: BTreeSet<u32> = state.0.values().map(|value| value.parse().unwrap()).collect();
        let (first, last) = (*values.first().unwrap(), *values.last().unwrap());
        assert_eq!((state.0.len(), last - first), (10, 9), "{step:?}: {state:?}");
        assert!(!copy.files().keys().any(|name| name.ends_with(".tmp")));
    }
}

#[test]
fn a_checkpoint_that_fails_at_any_step_loses_nothing() {
    for failing_step in CHECKPOINT_STEPS {
        let folder = TemporaryFolder::new();
        let step_count = AtomicU64::new(0);
        let (log, all) = append_through_checkpoint(&folder, move |step| match step {
            // The first occurrence of a step does not fail, because the opening of the log also creates a segment.
            _ if step == failing_step && step_count.fetch_add(1, Ordering::Relaxed) > 0 => {
                Err(io::Error::other("broken"))
            }
            _ => Ok(()),
        });
        drop(log);
        assert_eq!(folder.recover().unwrap(), all, "{failing_step:?}");
    }
}
