//! Messages and records as text, for the trace of a simulation.

use super::network::index;
use stileroute_control_group_planted::{Message, Record};

pub(super) fn message_text(message: &Message) -> String {
    match message {
        Message::Store { epoch, write_id, state } => {
            format!("store {} by {epoch} ({write_id})", state.version)
        }
        Message::Propose { view, by_handover } => {
            let handover = if *by_handover { ", by handover" } else { "" };
            format!("propose epoch {} for {}{handover}", view.epoch, index(view.primary))
        }
        Message::Granted { view } => format!("granted epoch {} to {}", view.epoch, index(view.primary)),
        Message::Denied { view } => {
            format!(
                "denied by epoch {} of {}, membership of epoch {}",
                view.epoch,
                index(view.primary),
                view.membership_epoch
            )
        }
        Message::ViewReply { view: Some(view) } => {
            format!(
                "view: epoch {} of {}, membership of epoch {}",
                view.epoch,
                index(view.primary),
                view.membership_epoch
            )
        }
        Message::StateReply { state } => format!("state: {}", state.version),
        other => format!("{other:?}"),
    }
}

pub(super) fn record_text(record: &Record) -> String {
    match record {
        Record::View(view) => {
            let replicas: Vec<usize> = view.replicas.iter().map(|c| index(*c)).collect();
            format!(
                "view: epoch {} of {}, replicas {replicas:?}, membership of epoch {}",
                view.epoch,
                index(view.primary),
                view.membership_epoch
            )
        }
        Record::ControlState(state) => {
            format!("state {}: {}", state.version, String::from_utf8_lossy(&state.body))
        }
        Record::LegacyConfiguration(old) => format!("state {} of an older build", old.version),
        Record::Vote(vote) => format!("vote by {} to {}", vote.epoch, index(vote.primary)),
    }
}
