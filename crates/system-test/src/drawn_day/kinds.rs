//! The kinds of trouble that are drawn, and the variants that each may come in: most of what the bench knows on all deployments of the
//! whole system, without `seed_turnover`.

/// A kind of trouble.
#[derive(Debug)]
pub(super) struct Kind {
    /// Its name on the bench.
    pub name: &'static str,
    /// The classes of machines that it may strike; none where the bench picks.
    pub on: &'static [&'static str],
    /// The variants that it may come in.
    pub how: &'static [&'static str],
    /// The most machines, or changes, that it may strike or send; `None` where it has no count.
    pub max_count: Option<u32>,
}

const fn kind(
    name: &'static str,
    on: &'static [&'static str],
    how: &'static [&'static str],
    max_count: Option<u32>,
) -> Kind {
    Kind { name, on, how, max_count }
}

const ALL_CLASSES: &[&str] = &["front", "store", "core"];
const COUNTED_CLASSES: &[&str] = &["store", "core"];
const STORES: &[&str] = &["store"];
const NO_VARIANT: &[&str] = &[""];

const REPLACE: Kind = kind("replace_core", COUNTED_CLASSES, &["", "planned", "oldest"], None);
const RETIRE: Kind = kind("retire", &[], &["", "wipe"], None);
const ADD_STORES: Kind = kind("add_nodes", STORES, NO_VARIANT, Some(2));
const ROLL: Kind = kind("roll_term", ALL_CLASSES, &["", "busy"], None);
const KILL_AFTER_ACK: Kind =
    kind("after_ack_kill", COUNTED_CLASSES, &["kill", "timed", "taken", "taken gone"], Some(1));
const WIPE_AFTER_ACK: Kind =
    kind("after_ack_wipe", COUNTED_CLASSES, &["", "oldest", "timed", "taken"], Some(1));
const KILL: Kind = kind("node_kill", ALL_CLASSES, &["", "power", "leader", "power turn", "meet"], Some(2));
const FREEZE: Kind = kind("node_freeze", ALL_CLASSES, &["", "leader", "meet"], Some(2));
const KILL_HERD: Kind = kind("herd_kill", ALL_CLASSES, &["", "power", "off", "taken", "taken all"], None);

/// Planned work, and changes of the configuration.
pub(super) const CHANGES_AND_PLANS: [Kind; 8] = [
    kind("release", &[], NO_VARIANT, None),
    kind("config_change", &[], &["route", "timeout", "idle"], None),
    kind("config_race", &[], NO_VARIANT, Some(6)),
    kind(
        "bad_config",
        &[],
        &["cut_short", "unknown_service", "same_place", "no_timeout", "old_version", "same_version"],
        Some(2),
    ),
    REPLACE,
    RETIRE,
    ADD_STORES,
    ROLL,
];

/// What nobody planned.
pub(super) const FAULTS: [Kind; 17] = [
    kind("answer_lost", &[], &["", "reset"], None),
    kind("garble", &[], &["", "extra", "unframed", "early"], None),
    kind("disk_stall", &[], NO_VARIANT, Some(2)),
    kind("disk_slow", &[], NO_VARIANT, Some(2)),
    kind("disk_full", &[], NO_VARIANT, Some(1)),
    kind("clock_step", &[], &["back", "ahead"], None),
    kind(
        "core_cut",
        COUNTED_CLASSES,
        &[
            "",
            "split",
            "split reset",
            "all",
            "all reset",
            "near reset",
            "one_way",
            "leader refuse",
            "oldest",
            "behind",
        ],
        Some(1),
    ),
    kind("node_cut", ALL_CLASSES, &["", "all", "all reset", "refuse"], Some(2)),
    kind("node_slow", ALL_CLASSES, NO_VARIANT, None),
    kind("hup", &[], NO_VARIANT, None),
    kind("reset_conns", &[], NO_VARIANT, None),
    kind("ack_lost", &[], NO_VARIANT, None),
    KILL_AFTER_ACK,
    WIPE_AFTER_ACK,
    KILL,
    FREEZE,
    KILL_HERD,
];

/// What loses, empties, replaces or restarts machines with disks.
pub(super) const LOSSES: [Kind; 8] = [
    kind("after_ack_wipe", STORES, &["", "oldest", "taken"], Some(1)),
    kind("after_ack_wipe", STORES, &["", "oldest"], Some(2)),
    kind("replace_core", STORES, &["", "planned", "oldest"], None),
    RETIRE,
    ADD_STORES,
    kind("roll_term", STORES, &["", "busy"], None),
    kind("herd_kill", COUNTED_CLASSES, &["", "power", "off", "taken"], None),
    kind("node_freeze", STORES, NO_VARIANT, Some(1)),
];

/// What loses the disks of stores.
pub(super) const DISK_LOSSES: [Kind; 2] = [
    kind("after_ack_wipe", STORES, &["", "oldest", "taken", "timed"], Some(1)),
    kind("after_ack_wipe", STORES, &["", "oldest"], Some(2)),
];

/// What keeps a store from being heard, or keeps it waiting.
pub(super) const SILENCES: [Kind; 8] = [
    kind("node_kill", STORES, &["", "power"], Some(1)),
    kind("node_freeze", STORES, NO_VARIANT, Some(1)),
    kind("node_cut", STORES, &["", "all", "all reset"], Some(1)),
    kind("node_slow", STORES, NO_VARIANT, None),
    kind("core_cut", STORES, &["near reset", "one_way"], Some(1)),
    kind("disk_slow", STORES, NO_VARIANT, Some(1)),
    kind("disk_stall", STORES, NO_VARIANT, Some(1)),
    kind("reset_conns", STORES, NO_VARIANT, None),
];

/// What may strike at the end.
pub(super) const CLOSINGS: [Kind; 3] = [
    kind("power_off_all", &[], &["", "timed", "taken"], None),
    kind("wipe_after_ack", &[], &["", "timed", "taken", "oldest"], None),
    kind("kill_all", &[], &["", "timed", "taken"], None),
];
