//! The processes of the stores: how each starts, stops, fails and is frozen.

use super::*;
use stileroute_wal::StateMachine;

/// Time after which a checkpoint is tried again that found the disk busy.
const CHECKPOINT_RETRY_MS: u64 = 20;

impl Simulation {
    pub(super) fn start(&mut self, at: usize) {
        let (now, replicas) = (self.now, self.replica_count);
        if self.stores[at].queue.is_some() || self.stores[at].is_removed {
            return;
        }
        let mut table = StateTable::default();
        for record in self.stores[at].disk.written() {
            table.apply_record(postcard::from_bytes(record).unwrap());
        }
        let store = &mut self.stores[at];
        for record in store.disk.take_crash_buffer() {
            if table.apply_kept_end(&record) || table.apply_kept_failure(&record) {
                store.disk.write_synced(record);
            }
        }
        let has_lost_disk = table.disk_id.is_none() && now > 0;
        if table.disk_id.is_none() {
            self.next_disk += 1;
            store.disk_id = self.next_disk;
        }
        self.next_incarnation += 1;
        let first = first_number(self.next_incarnation << 37);
        let born = Record::IncarnationStarted { disk_id: store.disk_id, first_number: first };
        store.disk.write_synced(postcard::to_stdvec(&born).unwrap());
        if has_lost_disk {
            store.disk.write_synced(postcard::to_stdvec(&Record::ShardTermsMissing(true)).unwrap());
        }
        if let Some(change) = self.bounds.end_retention_change(&table) {
            store.disk.write_synced(postcard::to_stdvec(&change).unwrap());
        }
        let settings = QueueSettings {
            node: store.node,
            zone: at,
            disk_id: store.disk_id,
            first_number: first,
            has_lost_disk,
            seed: at as u64,
            ..self.bounds.store_settings(&table, replicas)
        };
        store.incarnation += 1;
        store.started_at = now;
        store.shutdown = None;
        store.put_tickets.clear();
        let mut queue = Queue::new(settings, table, 0, START_WALL_CLOCK_MS + now);
        (self.prepare)(&mut queue);
        store.queue = Some(queue);
        for other in 0..self.stores.len() {
            if other != at {
                self.schedule(60, Event::Connect { a: at, b: other });
            }
        }
        self.schedule(self.configuration_delay_ms, Event::ConfigurationAnnounced { at });
        self.schedule(100, Event::MembersAnnounced);
    }

    /// Ends the process; the stores connected to it learn of it after `noticed` milliseconds, and its session expires
    /// after `expires_after`.
    pub(super) fn stop(&mut self, at: usize, noticed: u64, expires_after: u64) {
        self.stores[at].queue = None;
        self.stores[at].shutdown = None;
        let links: Vec<((usize, usize), u64)> = self
            .connections
            .iter()
            .filter(|((a, b), _)| *a == at || *b == at)
            .map(|(k, v)| (*k, *v))
            .collect();
        for ((a, b), link) in links {
            self.connections.remove(&(a, b));
            self.schedule(noticed, Event::Disconnect { a, b, link });
        }
        let incarnation = self.stores[at].incarnation;
        self.schedule(expires_after, Event::SessionExpires { at, incarnation });
    }

    pub fn inject(&mut self, at: usize, fault: Fault) {
        if self.stores[at].queue.is_none() {
            return;
        }
        if fault == Fault::Shutdown {
            self.stores[at].shutdown.get_or_insert(Shutdown { since: self.now, has_flushed: false });
            return;
        }
        if fault == Fault::Freeze {
            self.freeze(at, 4000);
            return;
        }
        self.stop(at, if fault == Fault::PowerLoss { 1000 } else { 5 }, SESSION_EXPIRY_DELAY_MS);
        self.stores[at].disk.cut(match fault {
            Fault::PowerLoss => DiskCut::PowerLoss,
            Fault::DiskLoss => DiskCut::DiskLoss,
            _ => DiskCut::Kill,
        });
        let back = match fault {
            Fault::QuickRestart => 20,
            Fault::Kill | Fault::Shutdown => 700,
            Fault::PowerLoss | Fault::DiskLoss => 1500,
            Fault::KillLong | Fault::Freeze => 7000,
        };
        self.record_fault(self.now + back);
        self.schedule(back, Event::Start { at });
    }

    /// Kills the process; it returns with its disk after `ms` milliseconds.
    pub(super) fn be_absent(&mut self, at: usize, ms: u64) {
        if self.stores[at].queue.is_none() {
            return;
        }
        self.stop(at, 5, SESSION_EXPIRY_DELAY_MS);
        self.stores[at].disk.cut(DiskCut::Kill);
        self.record_fault(self.now + ms);
        self.schedule(ms, Event::Start { at });
    }

    /// Replaces the records of a store's disk by a snapshot of the state that they give, once the disk is at rest.
    pub(super) fn checkpoint(&mut self, at: usize) {
        if !self.stores[at].disk.is_at_rest() {
            return self.schedule(CHECKPOINT_RETRY_MS, Event::Act(Action::Checkpoint(at)));
        }
        let mut table = StateTable::default();
        self.stores[at].disk.written().for_each(|record| table.apply(record));
        let mut snapshot = Vec::new();
        table.snapshot(&mut |record| snapshot.push(record.to_vec()));
        self.stores[at].disk.replace(snapshot);
    }

    /// Freezes the process. The others give up its connections after a second, and its session expires; the store
    /// learns of that when it wakes up.
    pub(super) fn freeze(&mut self, at: usize, ms: u64) {
        let incarnation = self.stores[at].incarnation;
        self.stores[at].frozen_until = self.now + ms;
        self.record_fault(self.now + ms);
        let links: Vec<_> = self.connections.iter().filter(|((a, b), _)| *a == at || *b == at).collect();
        let links: Vec<_> = links.into_iter().map(|((a, b), link)| (*a, *b, *link)).collect();
        links.into_iter().for_each(|(a, b, link)| self.schedule(1000, Event::Disconnect { a, b, link }));
        self.schedule(SESSION_EXPIRY_DELAY_MS, Event::SessionExpires { at, incarnation });
        self.schedule(ms, Event::Thaw { at, incarnation });
        (0..self.stores.len())
            .filter(|b| *b != at)
            .for_each(|b| self.schedule(ms + 60, Event::Connect { a: at, b }));
        self.schedule(ms + 100, Event::MembersAnnounced);
    }

    pub(super) fn announce_members(&mut self) {
        for store in &mut self.stores {
            store.control.is_member |=
                store.queue.is_some() && store.frozen_until <= self.now && !store.control.is_isolated;
        }
        let all: Vec<(Node, usize)> = self
            .stores
            .iter()
            .enumerate()
            .filter(|(_, s)| s.control.is_member)
            .map(|(i, s)| (s.node, i))
            .collect();
        for at in 0..self.stores.len() {
            if self.stores[at].frozen_until > self.now || self.stores[at].control.is_isolated {
                continue;
            }
            if let Some((queue, now)) = self.queue(at) {
                queue.control_contact = ControlContact::FULL;
                queue.set_members(now, &all);
            }
        }
    }

    pub(super) fn announce_configuration(&mut self, at: usize) {
        let config = Arc::clone(&self.config);
        let executors = (0..3u8).map(|n| Executor {
            id: format!("e{n}"),
            address: format!("10.0.0.{n}:80").parse().unwrap(),
            zone: n as usize,
            capacity: 8.0,
            is_serving: true,
            warm_up_left_ms: 0,
        });
        let executors = HashMap::from([("works".to_string(), executors.collect::<Vec<_>>())]);
        if let Some((queue, now)) = self.queue(at) {
            queue.set_executors(now, now as i64 * 10, executors);
            queue.configure(now, now as i64 * 10, config);
        }
    }
}
