//! The stand-ins of the review's scripts: a platform that starts and stops `stilerouted`, executors, clients and an
//! operator, all as PROTOCOL.md and DEPLOY.md describe them. Standard library only; `review/build.sh` builds it.
//!
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod fleet;
mod http;
mod parts;

mod key_after_a_store_is_added;
mod leave_at_a_cut_off_core;
mod store_restart_after_91_s;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = match case.as_str() {
        "leave-at-a-cut-off-core" => leave_at_a_cut_off_core::play(trouble),
        "key-after-a-store-is-added" => key_after_a_store_is_added::play(trouble),
        "store-restart-after-91-s" => store_restart_after_91_s::play(trouble),
        _ => Err(format!("no case {case}")),
    };
    let (code, text) = match played {
        Ok((broken, text)) => (i32::from(broken), text),
        Err(error) => (2, format!("could not run: {error}\n")),
    };
    print!(
        "{}",
        text.lines().filter(|line| line.starts_with('#')).map(|line| format!("{line}\n")).collect::<String>()
    );
    if let Err(error) = std::fs::write(format!("{folder}/record.txt"), &text) {
        eprintln!("record.txt: {error}");
        exit(2);
    }
    if code == 2 {
        eprint!("{text}");
    }
    exit(code);
}
