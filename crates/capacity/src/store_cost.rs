//! What one message costs from its submission to its end, and what a store keeps for services, executors and other stores.

use crate::allocation::{heap_of, live_bytes};
use crate::cpu_time::thread_cpu_ns;
use crate::stores::{configuration, new_queue, store_nodes, tenths_ms, Stores};
use crate::traffic::Volume;
use std::collections::BTreeMap;
use std::sync::Arc;
use stileroute_config::{Config, ConfigError};
use stileroute_queue::{Millis, Queue};

/// Executors that deliver the measured messages.
const EXECUTORS: usize = 30;
/// Deliveries a second that each service may get, where rate limits are measured.
const RATE_LIMIT_PER_S: f64 = 39.0;
/// How long a store's upkeep is measured.
const UPKEEP_SPAN_MS: Millis = 2000;
/// Long enough for two stores to compare once what both hold.
const COMPARISON_SPAN_MS: Millis = 10_500;

/// How much is written or sent for one message.
#[derive(Clone, Copy, Debug, Default)]
pub struct VolumePerMessage {
    /// Records or frames.
    pub count: f64,
    /// Their bytes.
    pub bytes: f64,
}

/// What one message costs two stores together: its owner and the one with its replica.
#[derive(Clone, Debug, Default)]
pub struct MessageCost {
    /// Bytes on the heaps of both while it waits.
    pub waiting_heap_bytes: f64,
    /// Bytes on the heaps of both after its end, as long as that is remembered.
    pub ended_heap_bytes: f64,
    /// Records on the disks of both.
    pub disk: VolumePerMessage,
    /// Frames between the two, by category.
    pub frames: Vec<(&'static str, VolumePerMessage)>,
    /// Processor time of both, in microseconds.
    pub cpu_us: f64,
}

/// Measures what one message costs, over so many of them.
///
/// # Errors
///
/// As [`Stores::new`].
pub fn message_cost(count: usize) -> Result<MessageCost, ConfigError> {
    let mut stores = Stores::new(2, 1, 1)?;
    stores.frames = BTreeMap::new();
    stores.disk = Volume::default();
    let (heap_before, cpu_before) = (live_bytes(), thread_cpu_ns());
    (0..count).for_each(|number| stores.submit(number));
    let waiting_heap = live_bytes() - heap_before;
    stores.set_executors(EXECUTORS);
    while stores.pending_attempt_count() > 0 {
        stores.complete_attempts();
        stores.wait(50);
    }
    stores.wait(1000);
    let cpu_ns = thread_cpu_ns() - cpu_before;
    let ended_heap = live_bytes() - heap_before;
    let per_message = |value: f64| value / count as f64;
    let volume_per_message = |volume: &Volume| VolumePerMessage {
        count: per_message(volume.messages as f64),
        bytes: per_message(volume.bytes as f64),
    };
    let frames = stores.frames.iter();
    Ok(MessageCost {
        waiting_heap_bytes: per_message(waiting_heap as f64),
        ended_heap_bytes: per_message(ended_heap as f64),
        disk: volume_per_message(&stores.disk),
        frames: frames.map(|(category, volume)| (*category, volume_per_message(volume))).collect(),
        cpu_us: per_message(cpu_ns as f64) / 1000.0,
    })
}

/// What a store spends on services and other stores though no message comes.
#[derive(Clone, Debug, Default)]
pub struct ServiceCost {
    /// How many services the configuration has.
    pub services: usize,
    /// How many stores there are.
    pub stores: usize,
    /// Bytes of the configuration for one service and its route.
    pub configuration_bytes: f64,
    /// Bytes on the heap for one service's queue in a store.
    pub heap_bytes: f64,
    /// Processor time to read the configuration, in microseconds.
    pub read_us: f64,
    /// Processor time for upkeep, in microseconds each second.
    pub upkeep_us_per_s: f64,
}

/// Measures what a store spends on so many services and other stores.
///
/// # Errors
///
/// The configuration has faults, which would be a fault of [`configuration`].
pub fn service_cost(services: usize, stores: usize) -> Result<ServiceCost, ConfigError> {
    let text = configuration(services, RATE_LIMIT_PER_S);
    let cpu_before = thread_cpu_ns();
    let config = Config::parse(text.as_bytes())?;
    let read_ns = thread_cpu_ns() - cpu_before;
    let config = Arc::new(config);
    let (mut queue, heap_bytes) = heap_of(|| {
        let mut queue = new_queue(1, 1);
        queue.configure(0, 0, Arc::clone(&config));
        queue
    });
    queue.set_members(0, &store_nodes(stores));
    let upkeep_ns = upkeep_cpu_ns(&mut queue);
    let per_service = |value: f64| value / services as f64;
    Ok(ServiceCost {
        services,
        stores,
        configuration_bytes: per_service(text.len() as f64),
        heap_bytes: per_service(heap_bytes as f64),
        read_us: read_ns as f64 / 1000.0,
        upkeep_us_per_s: upkeep_ns as f64 / UPKEEP_SPAN_MS as f64,
    })
}

/// Processor time of a store that does nothing but its upkeep for [`UPKEEP_SPAN_MS`].
fn upkeep_cpu_ns(queue: &mut Queue) -> u64 {
    let cpu_before = thread_cpu_ns();
    let mut now = 0;
    while now < UPKEEP_SPAN_MS {
        now = queue.next_deadline().clamp(now + 1, UPKEEP_SPAN_MS);
        queue.tick(now, tenths_ms(now));
        queue.take_effects();
    }
    thread_cpu_ns() - cpu_before
}

/// Measures the heap that one executor takes at one store, over so many executors.
///
/// # Errors
///
/// As [`Stores::new`].
pub fn executor_heap(count: usize) -> Result<f64, ConfigError> {
    let mut stores = Stores::new(1, 1, 0)?;
    let before = live_bytes();
    stores.set_executors(count);
    Ok((live_bytes() - before) as f64 / count as f64)
}

/// What it costs a store to compare once with another one what both hold, for each message that waits.
#[derive(Clone, Copy, Debug, Default)]
pub struct ComparisonCost {
    /// How many messages wait.
    pub messages: usize,
    /// Processor time for one message, in microseconds.
    pub us_per_message: f64,
    /// Bytes sent for one message.
    pub bytes_per_message: f64,
}

/// Measures a comparison while so many messages wait.
///
/// # Errors
///
/// As [`Stores::new`].
pub fn comparison_cost(count: usize) -> Result<ComparisonCost, ConfigError> {
    let mut stores = Stores::new(2, 1, 1)?;
    (0..count).for_each(|number| stores.submit(number));
    stores.frames = BTreeMap::new();
    let cpu_before = thread_cpu_ns();
    stores.wait(COMPARISON_SPAN_MS);
    let cpu_us = (thread_cpu_ns() - cpu_before) as f64 / 1000.0;
    let bytes = stores.frames.get("comparing").map_or(0, |volume| volume.bytes);
    Ok(ComparisonCost {
        messages: count,
        us_per_message: cpu_us / count as f64,
        bytes_per_message: bytes as f64 / count as f64,
    })
}
