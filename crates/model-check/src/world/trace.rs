//! Messages and records as text, for the trace of a world.

use super::connections::index;
use stileroute_control_group_planted::{Record, Signal};

pub(super) fn signal_text(signal: &Signal) -> String {
    match signal {
        Signal::Store { epoch, serial, state } => format!("store {} by {epoch} ({serial})", state.version),
        Signal::Propose { view, released } => {
            let freed = if *released { ", released" } else { "" };
            format!("propose epoch {} for {}{freed}", view.epoch, index(view.primary))
        }
        Signal::Granted { view } => format!("granted epoch {} to {}", view.epoch, index(view.primary)),
        Signal::Denied { view } => {
            format!(
                "denied, by epoch {} of {}, drawn {}",
                view.epoch,
                index(view.primary),
                view.membership_epoch
            )
        }
        Signal::TellView { view: Some(view) } => {
            format!(
                "this view: epoch {} of {}, drawn {}",
                view.epoch,
                index(view.primary),
                view.membership_epoch
            )
        }
        Signal::TellState { state } => format!("this state: {}", state.version),
        other => format!("{other:?}"),
    }
}

pub(super) fn record_text(record: &Record) -> String {
    match record {
        Record::View(view) => {
            let copies: Vec<usize> = view.copies.iter().map(|c| index(*c)).collect();
            format!(
                "view: epoch {} of {}, copies {copies:?}, drawn {}",
                view.epoch,
                index(view.primary),
                view.membership_epoch
            )
        }
        Record::ControlState(state) => {
            format!("state {}: {}", state.version, String::from_utf8_lossy(&state.body))
        }
        Record::Unnumbered(old) => format!("state {} of an older build", old.version),
        Record::Vote { epoch, to } => format!("vote by {epoch} to {}", index(*to)),
    }
}
