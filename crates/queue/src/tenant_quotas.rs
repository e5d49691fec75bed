//! Quotas: limits on the messages of a tenant that may be accepted, over all stores together.
//!
//! Each tenant has a token bucket at one store, its holder, by the same rules as the bucket of a service's rate limit:
//! there is one holder at a time, and the next holder begins with an empty bucket once the former one has stopped
//! (`token_bucket.rs`). Any store takes a token before it accepts a message, from its own grants or from the holder.
//! Further submissions with the idempotency key of an accepted message take no token. A submission that cannot get a
//! token is rejected, and nothing of it is kept.

use crate::effect::Effect;
use crate::message::{Message, Millis, PutError};
use crate::peer_message::PeerMessage;
use crate::planted_fault::PlantedFault;
use crate::queue::{token_holder, Queue};
use crate::token_bucket::TokenBucket;
use std::collections::{HashMap, VecDeque};
use stileroute_config::Config;

/// Prefix of a tenant's name in token requests, because a service and a tenant may have the same name.
const TENANT_PREFIX: &str = "tenant\0";

/// Time-out of a submission that waits for the holder's answer. Its edge gives up on this store a little later.
const HOLDER_TIMEOUT_MS: Millis = 150;

/// Time for which the holder is not asked again after it had too few tokens.
const DENIED_RETRY_DELAY_MS: Millis = 60;

/// Maximum number of tokens in one request.
const MAX_TOKENS_PER_REQUEST: usize = 16;

/// Window of all quotas if [`PlantedFault::QuotaWindowFixed`] is planted.
const PLANTED_WINDOW_MS: u64 = 60_000;

/// A submission that waits for a token.
#[derive(Debug)]
struct WaitingForToken {
    ticket: u64,
    message: Message,
    is_resubmitted: bool,
    deadline: Millis,
}

/// The quota of one tenant, as known to one store.
#[derive(Debug)]
pub(crate) struct TenantQuota {
    pub(crate) bucket: TokenBucket,
    waiting: VecDeque<WaitingForToken>,
    /// Number of tokens in the last request to the holder.
    requested: u32,
    /// Time until which no tokens are requested, because the holder had too few.
    denied_until: Millis,
}

/// What this store knows of the tenants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum TenantKnowledge {
    /// No configuration has arrived since the start of the process.
    #[default]
    NoConfiguration,
    /// The configuration names no tenants.
    NoTenants,
    /// The configuration names the tenants.
    Configured,
}

/// The quotas of all tenants that have one, by the names used in token requests.
#[derive(Debug, Default)]
pub(crate) struct TenantQuotas {
    pub(crate) by_name: HashMap<String, TenantQuota>,
    knowledge: TenantKnowledge,
}

impl TenantQuotas {
    /// Time at which [`Queue::settle_quotas`] has to be called next.
    pub(crate) fn next_deadline(&self) -> Millis {
        let first = |quota: &TenantQuota| quota.waiting.front().map(|waiting| waiting.deadline);
        self.by_name.values().filter_map(first).min().unwrap_or(Millis::MAX)
    }
}

/// Whether the tenant's quota allows a message to be accepted.
enum Admission {
    Granted,
    /// The tenant has used up its quota.
    Exceeded,
    /// The tenant, and therefore its quota, is not known to this store.
    Unknown,
    /// This store knows no quotas yet, but another one may.
    NotConfigured,
    /// The holder of the quota has to be asked for a token.
    Wait,
}

impl Queue {
    /// Applies the tenant quotas of a configuration.
    pub(crate) fn configure_quotas(&mut self, now: Millis, config: &Config) {
        let tenants = config.tenants.as_ref().map_or(&[][..], |table| &table.tenants);
        self.quotas.knowledge = match config.tenants {
            Some(_) => TenantKnowledge::Configured,
            None => TenantKnowledge::NoTenants,
        };
        let mut bounds = self.settings.quota;
        if self.planted(PlantedFault::QuotaWindowFixed) {
            bounds.window_ms = PLANTED_WINDOW_MS;
        }
        let mut former = std::mem::take(&mut self.quotas.by_name);
        for tenant in tenants {
            let name = format!("{TENANT_PREFIX}{}", tenant.name);
            let quota = former.remove(&name);
            let mut quota = quota.unwrap_or_else(|| TenantQuota {
                bucket: TokenBucket::default(),
                waiting: VecDeque::new(),
                requested: 0,
                denied_until: 0,
            });
            quota.bucket.set_quota(now, tenant.rate_limit_per_s, tenant.burst, bounds);
            self.quotas.by_name.insert(name, quota);
        }
        for waiting in former.into_values().flat_map(|quota| quota.waiting) {
            self.reject_with(waiting.ticket, PutError::QuotaUnknown);
        }
    }

    /// Accepts a message if its tenant's quota allows it.
    pub(crate) fn admit(&mut self, now: Millis, ticket: u64, message: Message, is_resubmitted: bool) {
        let Some(name) = message.tenant.as_ref().map(|tenant| format!("{TENANT_PREFIX}{tenant}")) else {
            return self.accept_new(now, ticket, message, is_resubmitted);
        };
        match self.take_quota(now, &name) {
            Admission::Granted => self.accept_new(now, ticket, message, is_resubmitted),
            Admission::Exceeded => {
                self.metrics.over_quota += 1;
                self.reject_with(ticket, PutError::QuotaExceeded);
            }
            Admission::Unknown => self.reject_with(ticket, PutError::QuotaUnknown),
            Admission::NotConfigured => self.reject_with(ticket, PutError::Rejected),
            Admission::Wait => {
                let deadline = now + HOLDER_TIMEOUT_MS;
                let waiting = WaitingForToken { ticket, message, is_resubmitted, deadline };
                if let Some(quota) = self.quotas.by_name.get_mut(&name) {
                    quota.waiting.push_back(waiting);
                }
                self.ask_for_tokens(now, &name);
            }
        }
    }

    fn take_quota(&mut self, now: Millis, name: &str) -> Admission {
        let admits_unconfigured = self.planted(PlantedFault::UnconfiguredStoreAdmits);
        match self.quotas.knowledge {
            TenantKnowledge::NoConfiguration if admits_unconfigured => return Admission::Granted,
            TenantKnowledge::NoConfiguration => return Admission::NotConfigured,
            TenantKnowledge::NoTenants => return Admission::Granted,
            TenantKnowledge::Configured => {}
        }
        let Some(quota) = self.quotas.by_name.get_mut(name) else { return Admission::Unknown };
        if !quota.bucket.has_limit() || quota.bucket.take(now) {
            return Admission::Granted;
        }
        let is_answered = quota.bucket.is_handing_out(now) || now < quota.denied_until;
        if is_answered {
            Admission::Exceeded
        } else {
            Admission::Wait
        }
    }

    /// Asks the holder for as many tokens as submissions are waiting, up to [`MAX_TOKENS_PER_REQUEST`], unless a
    /// request is pending.
    fn ask_for_tokens(&mut self, now: Millis, name: &str) {
        let holder = token_holder(name, self.settings.node, &self.peers);
        let Some(quota) = self.quotas.by_name.get_mut(name) else { return };
        if holder == self.settings.node || !quota.bucket.begin_request(now) {
            return;
        }
        let count = quota.waiting.len().min(MAX_TOKENS_PER_REQUEST) as u32;
        quota.requested = count;
        let message = PeerMessage::RequestTokens { service: name.to_string(), count };
        self.emit(Effect::Send { to: holder, message });
    }

    /// Handles a grant of `count` tokens by the holder: as many submissions are processed again, and the others wait
    /// for the next answer. If the holder granted fewer tokens than requested, all waiting submissions exceed the
    /// quota.
    pub(crate) fn quota_tokens_received(&mut self, now: Millis, name: &str, count: u32) {
        let Some(quota) = self.quotas.by_name.get_mut(name) else { return };
        let is_denied = count < quota.requested;
        let settled = if is_denied { quota.waiting.len() } else { quota.waiting.len().min(count as usize) };
        let settled: Vec<WaitingForToken> = quota.waiting.drain(..settled).collect();
        let must_ask_again = !quota.waiting.is_empty();
        if is_denied {
            quota.denied_until = now + DENIED_RETRY_DELAY_MS;
        }
        for WaitingForToken { ticket, message, is_resubmitted, .. } in settled {
            // Another submission with the same idempotency key may have arrived in the meantime.
            match message.idempotency_digest() {
                Some(digest) => self.submit_once(now, ticket, message, digest),
                None => self.admit(now, ticket, message, is_resubmitted),
            }
        }
        if must_ask_again {
            self.ask_for_tokens(now, name);
        }
    }

    /// Rejects submissions for which the holder has not answered within the time-out.
    pub(crate) fn settle_quotas(&mut self, now: Millis) {
        let mut late = Vec::new();
        for quota in self.quotas.by_name.values_mut() {
            while quota.waiting.front().is_some_and(|waiting| waiting.deadline <= now) {
                late.extend(quota.waiting.pop_front().map(|waiting| waiting.ticket));
            }
        }
        for ticket in late {
            self.metrics.quota_timeouts += 1;
            self.reject_with(ticket, PutError::QuotaUnknown);
        }
    }

    /// Discards a waiting submission whose connection is gone.
    pub(crate) fn forget_quota_submission(&mut self, ticket: u64) {
        for quota in self.quotas.by_name.values_mut() {
            quota.waiting.retain(|waiting| waiting.ticket != ticket);
        }
    }

    fn reject_with(&mut self, ticket: u64, error: PutError) {
        self.metrics.rejected += 1;
        self.emit(Effect::PutResult { ticket, result: Err(error) });
    }
}
