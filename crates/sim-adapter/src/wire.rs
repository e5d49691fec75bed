//! Messages of the simulator's wire protocol that the adapter reads.

use serde::Deserialize;
use std::borrow::Cow;
use stileroute_dispatch::settings::PostedSettings;

#[derive(Deserialize)]
pub struct Batch<'a> {
    #[serde(rename = "clock-ns")]
    pub clock: i64,
    #[serde(borrow)]
    pub msgs: Vec<Msg<'a>>,
}

/// The fields of all messages; the handler of each message checks the fields that it requires.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Msg<'a> {
    #[serde(borrow)]
    pub op: Cow<'a, str>,
    #[serde(borrow)]
    pub node: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub ticket: Option<Cow<'a, str>>,
    pub init_seed: Option<u64>,
    pub conf: Option<Box<PostedSettings>>,
    #[serde(borrow)]
    pub scope: Option<Cow<'a, str>>,
    pub elements: Option<Vec<Element<'a>>>,
    pub generation: Option<i64>,
    pub grade: Option<usize>,
    pub project: Option<usize>,
    #[serde(borrow)]
    pub resource: Option<Cow<'a, str>>,
    pub from: Option<usize>,
    #[serde(borrow)]
    pub octets: Option<Cow<'a, str>>,
    pub cores_needed: Option<f64>,
    pub ram_units: Option<f64>,
    pub drop_dead_ns: Option<i64>,
    pub work_ns: Option<i64>,
    pub round_no: Option<usize>,
    pub topic: Option<i64>,
    pub x: Option<f64>,
    #[serde(borrow)]
    pub status: Option<Cow<'a, str>>,
    #[serde(default, rename = "final")]
    pub last: bool,
    #[serde(default)]
    pub gauge: Option<Vec<f64>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Element<'a> {
    #[serde(borrow)]
    pub executor: Cow<'a, str>,
    #[serde(default)]
    pub site: usize,
    #[serde(default)]
    pub family_type: usize,
    #[serde(default)]
    pub group: usize,
    #[serde(borrow)]
    pub stage_state: Cow<'a, str>,
    #[serde(default)]
    pub nominal: f64,
    #[serde(default)]
    pub last_start_ns: i64,
}
