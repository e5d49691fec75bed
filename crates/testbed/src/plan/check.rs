//! What a plan must hold for it to be played. Everything is checked before anything is played.

use super::{Between, EffectName, Fault, On, Only, Plan, Set, What};

impl Plan {
    /// Key and reason of the first thing that cannot be played.
    pub fn check(&self) -> Result<(), (Vec<String>, String)> {
        let key = |path: &str| path.split('.').map(str::to_string).collect::<Vec<_>>();
        let bad = |path: &str, reason: &str| Err((key(path), reason.to_string()));
        // Not-a-number fails every comparison, so ranges are stated as what must hold.
        let within = |value: f64, least: f64, most: f64| value >= least && value <= most;
        if !within(self.seconds, 0.1, 86_400.0) {
            return bad("seconds", "must be from 0.1 to 86400");
        }
        if self.seeds.is_empty() {
            return bad("seeds", "there is none, so there is nothing to play");
        }
        let fleet = &self.fleet;
        if fleet.domains.is_empty() {
            return bad("fleet.domains", "there must be one at least");
        }
        if self.executors() == 0 {
            return bad("fleet.kind", "there is no executor");
        }
        if self.executors() > 20_000 {
            return bad("fleet.kind", "more than 20000 executors");
        }
        for (at, kind) in fleet.kind.iter().enumerate() {
            let path = |name: &str| format!("fleet.kind.{at}.{name}");
            if !within(kind.slots, 1.0, 1024.0) {
                return bad(&path("slots"), "must be from 1 to 1024");
            }
            if !(within(kind.speed[0], 0.01, 100.0) && within(kind.speed[1], kind.speed[0], 100.0)) {
                return bad(&path("speed"), "must be two rising numbers from 0.01 to 100");
            }
        }
        let cold = &fleet.cold;
        if !within(cold.start_share, 0.01, 1.0) {
            return bad("fleet.cold.start-share", "must be from 0.01 to 1");
        }
        if !(within(cold.warm_within_s, 0.0, 3600.0) && within(cold.tip_after_s, 0.01, 3600.0)) {
            return bad("fleet.cold", "times must be from 0 (tip-after-s: 0.01) to 3600 s");
        }
        let spans =
            [(fleet.list.late_s, "fleet.list.late-s"), (fleet.report.refresh_ms, "fleet.report.refresh-ms")];
        for (span, path) in spans {
            if !(within(span[0], 0.0, 1e6) && within(span[1], span[0], 1e6)) {
                return bad(path, "must be two rising numbers from 0");
            }
        }
        let list = &fleet.list;
        if !(within(list.calls_per_s, 0.0, 1e6) && within(list.lines_per_s, 0.0, 1e9)) {
            return bad("fleet.list.calls-per-s", "calls and lines a second must be from 0");
        }
        if list.replicas > 1000 || list.lag_s.iter().any(|lag| !within(*lag, 0.0, 3600.0)) {
            return bad("fleet.list.replicas", "1000 at the most, each at most 3600 s behind");
        }
        if !within(fleet.handshake_work_ms, 0.0, 1e5) {
            return bad("fleet.handshake-work-ms", "must be from 0 to 100000");
        }
        if self.nodes.members_ms != 0.0 && self.nodes.talk {
            return bad("nodes.members-ms", "stands beside talk, which has the same addresses");
        }
        if self.nodes.members_ms != 0.0 && !within(self.nodes.members_ms, 200.0, 60_000.0) {
            return bad("nodes.members-ms", "must be from 200 to 60000");
        }
        if !within(self.nodes.front_ms, 0.0, 60_000.0) {
            return bad("nodes.front-ms", "must be from 0 to 60000");
        }
        if !(within(fleet.near_ms, 0.1, 10_000.0) && within(fleet.far_ms, fleet.near_ms, 10_000.0)) {
            return bad("fleet.far-ms", "near-ms must be from 0.1, far-ms from near-ms to 10000");
        }
        if !(1..=64).contains(&fleet.max_pushes) {
            return bad("fleet.max-pushes", "must be from 1 to 64");
        }
        if !(1..=20_000).contains(&self.nodes.count) {
            return bad("nodes.count", "must be from 1 to 20000");
        }
        if (self.load.part > 0.0) == (self.load.per_second > 0.0) {
            return bad("load", "needs either part or per-second, above 0");
        }
        if !(within(self.load.part, 0.0, 100.0) && within(self.load.per_second, 0.0, 1e6)) {
            return bad("load", "part must be 100 and per-second 1000000 at the most");
        }
        if self.category.is_empty() {
            return bad("category", "there is none");
        }
        for (at, category) in self.category.iter().enumerate() {
            let path = |name: &str| format!("category.{at}.{name}");
            if !within(category.part, 1e-9, 1e9) {
                return bad(&path("part"), "must be above 0");
            }
            if !(within(category.work_ms, 0.1, 1e7) && within(category.spread, 0.0, 5.0)) {
                return bad(&path("work-ms"), "must be from 0.1, and spread from 0 to 5");
            }
            if !(within(category.target_ms, 1.0, 1e7) && within(category.ttl_ms, category.target_ms, 1e7)) {
                return bad(&path("ttl-ms"), "must be at least target-ms, and that 1 at least");
            }
            if category.effect == EffectName::Deduplicated && !within(category.window_ms, 1.0, 1e7) {
                return bad(
                    &path("window-ms"),
                    "a deduplicated category needs the time in which repeats are dropped",
                );
            }
            let most = fleet.kind.iter().map(|kind| kind.slots).fold(0.0, f64::max);
            if !within(category.slots, 0.1, most) {
                return bad(&path("slots"), "no executor has so many");
            }
            if let Some(kind) = &category.kind {
                match fleet.kind.iter().find(|k| k.name == *kind) {
                    None => return bad(&path("kind"), &format!("there is no kind '{kind}'")),
                    Some(k) if k.slots < category.slots || k.count == 0 => {
                        return bad(&path("kind"), "no executor of it has room for one");
                    }
                    Some(_) => {}
                }
            }
        }
        let figures = crate::report::Played::default().figures();
        for (how, bounds) in &self.expect {
            if !["play", "sim"].contains(&how.as_str()) {
                return bad(&format!("expect.{how}"), "must be 'play' or 'sim'");
            }
            for (name, [least, most]) in bounds {
                let path = vec!["expect".to_string(), how.clone(), name.clone()];
                if !figures.iter().any(|(own, _)| own == name) {
                    let names: Vec<&str> = figures.iter().map(|(own, _)| *own).collect();
                    return Err((path, format!("there is no such figure, only {}", names.join("; "))));
                }
                if !within(*least, -1e12, *most) {
                    return Err((path, "must be two rising numbers".to_string()));
                }
            }
        }
        if let Some(hunt) = &self.hunt {
            if !((1..=100_000).contains(&hunt.days) && (1..=20).contains(&hunt.most_faults)) {
                return bad("hunt", "days must be from 1 to 100000, most-faults from 1 to 20");
            }
            if hunt.kinds.is_empty() {
                return bad("hunt.kinds", "there is none, so there is nothing to draw");
            }
            if !within(hunt.below, 0.0, 1.0) {
                return bad("hunt.below", "must be from 0 to 1");
            }
        }
        for (at, fault) in self.fault.iter().enumerate() {
            let path = |name: &str| format!("fault.{at}.{name}");
            if !(within(fault.from_s, 0.0, 86_400.0) && within(fault.for_s, 0.0, 86_400.0)) {
                return bad(&path("from-s"), "from-s and for-s must be from 0 to 86400");
            }
            if fault.from_s >= self.seconds {
                return bad(&path("from-s"), "begins when the day is over");
            }
            let on = match self.on(fault) {
                Ok(on) => on,
                Err(reason) => return bad(&path("on"), &reason),
            };
            if fault.what.of_domain() && !matches!(on, On::Domain(_)) {
                return bad(&path("on"), "must be a domain: on = \"domain:NAME\"");
            }
            if fault.node.is_some() && fault.nodes.is_some() {
                return bad(&path("nodes"), "stands beside 'node', which names one already");
            }
            match fault.node {
                Some(node) if node >= self.nodes.count => {
                    return bad(
                        &path("node"),
                        &format!("there is no node {node}, they are 0 to {}", self.nodes.count - 1),
                    );
                }
                None if fault.what.of_node() && fault.nodes.is_none() => {
                    return bad(&path("what"), "needs nodes: the number of a node, or nodes = \"part:0.7\"")
                }
                _ => {}
            }
            if let Err(reason) = self.set(fault) {
                return bad(&path("nodes"), &reason);
            }
            let named = fault.node.is_some() || fault.nodes.is_some();
            let ways = fault.what.of_network() && !fault.what.of_domain();
            if named && !(fault.what.of_node() || ways || fault.what == What::Disabled) {
                return bad(
                    &path("nodes"),
                    "is for faults of nodes, of their ways, and of executors out by hand",
                );
            }
            if fault.only != Only::Both && fault.what != What::Deaf {
                return bad(&path("only"), "is for ways that are deaf");
            }
            let of_list = matches!(
                fault.what,
                What::ListDown | What::ListStale | What::ListEmpty | What::ListOld | What::ListOverbooked
            );
            if fault.replica.is_some() && !of_list && fault.between != Between::Discovery {
                return bad(&path("replica"), "is for faults of discovery and of the ways there");
            }
            if fault.what == What::NodeStopped && fault.for_s < 3.5 {
                return bad(
                    &path("for-s"),
                    "a node that is asked to end has 3.5 s at least to finish what it has",
                );
            }
            if !within(fault.spread_s, 0.0, 86_400.0) || (fault.spread_s > 0.0 && !fault.what.of_node()) {
                return bad(&path("spread-s"), "is for faults of nodes, and from 0");
            }
            if fault.spread_s > 0.0 && fault.every_s > 0.0 {
                return bad(&path("spread-s"), "can't be had together with every-s");
            }
            // A node that is asked to end must get the time for it.
            let ends = |f: &Fault| f.from_s + f.for_s + f.spread_s;
            let same = |f: &Fault| match (self.set(f), self.set(fault)) {
                (Ok(Some(Set::Node(a))), Ok(Some(Set::Node(b)))) => a == b,
                (Ok(Some(Set::Domain(a))), Ok(Some(Set::Domain(b)))) => a == b,
                (Ok(Some(Set::Domain(a))), Ok(Some(Set::Node(b))))
                | (Ok(Some(Set::Node(b))), Ok(Some(Set::Domain(a)))) => self.domain_of_node(b) == a,
                _ => true,
            };
            let meets = |f: &Fault| {
                let asked = f.what == What::NodeStopped || fault.what == What::NodeStopped;
                let of_node = |f: &Fault| f.what.of_node() && !f.what.of_state();
                let both = of_node(f) && of_node(fault) && same(f);
                both && asked && f.from_s <= ends(fault) && fault.from_s <= ends(f)
            };
            if self.fault[..at].iter().any(meets) {
                return bad(&path("from-s"), "another fault of the same node is not over by then");
            }
            if (fault.what.of_state() || fault.what == What::Disabled) && !self.nodes.keep {
                return bad(&path("what"), "needs nodes that keep something: nodes.keep = true");
            }
            if fault.between == Between::Nodes {
                if !self.nodes.talk && self.nodes.members_ms == 0.0 {
                    return bad(&path("between"), "needs nodes that talk: nodes.talk = true, or members-ms");
                }
                if !matches!(fault.what, What::Deaf | What::Delay | What::Loss) {
                    return bad(&path("between"), "messages can be deaf, late or lost, nothing else");
                }
            }
            if fault.between != Between::Executors && (!fault.what.of_network() || fault.what.of_domain()) {
                return bad(&path("between"), "is for faults of the network that name no domain");
            }
            let replicas = self.replicas();
            if let Some(replica) = fault.replica.filter(|replica| *replica >= replicas) {
                let reason = format!("there is no replica {replica}, they are 0 to {}", replicas - 1);
                return bad(&path("replica"), &reason);
            }
            if let Some(name) = &fault.category {
                if self.category_named(name).is_none() {
                    return bad(&path("category"), &format!("there is no category '{name}'"));
                }
            }
            if !(within(fault.part, 0.0, 1.0) && within(fault.factor, 0.01, 1000.0)) {
                return bad(&path("part"), "part must be from 0 to 1, factor from 0.01 to 1000");
            }
            if fault.every_s != 0.0 && !within(fault.every_s, 0.1, 3600.0) {
                return bad(&path("every-s"), "must be from 0.1 to 3600");
            }
        }
        Ok(())
    }
}
