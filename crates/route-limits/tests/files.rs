//! Tests that invalid files are rejected with the expected line and reason, and that similar valid files load.

mod common;
use common::{platform, read};
use stileroute_operator_file::Fault;

/// Invalid files, each with the line of its fault and a part of the message. The platform has the categories `lookup`
/// (redeliverable, TTL 5 s), `notice` (deduplicated by failure domain within 3 s, TTL 5 s, runs only on executor kind large) and
/// `booking` (at-most-once, TTL 9 s); it allows five pushes, and hedged ones.
const INVALID_FILES: &[(&str, usize, &str)] = &[
    // Syntax, unknown keys and values of the wrong type.
    ("[defaults\n", 1, "file"),
    ("x = 1\n", 1, "x: is not known"),
    ("[defaults]\npushs = 2\n", 2, "did you mean 'pushes'?"),
    ("[defautls]\npushes = 2\n", 1, "did you mean 'defaults'?"),
    ("[defaults]\npushes = 'two'\n", 2, "must be a whole number, not a text"),
    ("[defaults]\npushes = 0\n", 2, "from 1 to 64"),
    ("[defaults]\npushes = 2.5\n", 2, "must be a whole number, not a number"),
    ("[defaults]\nop = 5\n", 2, "must be a time with its unit"),
    ("[defaults]\nop = '5'\n", 2, "has no unit"),
    ("[defaults]\nop = '5 parsecs'\n", 2, "is not a time"),
    ("[defaults]\nop = '-5s'\n", 2, "is not a time"),
    ("[defaults]\nop = '0s'\n", 2, "must be longer than 0"),
    ("[defaults]\nop = '99999999999999999999s'\n", 2, "is not a time"),
    ("[defaults]\nop = '900h'\n", 2, "more than 24h"),
    ("[defaults]\ncopy-after = 1.5\n", 2, "from 0.5 to 0.999"),
    ("[defaults]\ncopy-after = 0.1\n", 2, "from 0.5 to 0.999"),
    ("[defaults]\ncopy-after = nan\n", 2, "from 0.5 to 0.999"),
    ("[defaults]\npause-spread = 99\n", 2, "from 0 to 10"),
    ("[defaults]\nkinds = 'large'\n", 2, "must be a list of texts"),
    ("[defaults]\nkinds = []\n", 2, "empty list"),
    ("[defaults]\nkinds = ['lrage']\n", 2, "there is no kind 'lrage'; did you mean 'large'?"),
    ("[defaults]\ndomains = ['east']\n", 2, "there is no failure domain 'east'"),
    ("[defaults]\neffect = 'twice'\n", 2, "'twice' is none of redeliverable"),
    ("[defaults]\nretry-budget = 3\n", 2, "must be a table"),
    ("[defaults]\nretry-budget = { part = 2.0 }\n", 2, "from 0 to 1"),
    ("[defaults]\nretry-budget = { window = '5s' }\n", 2, "needs a part"),
    ("[defaults]\nretry-budget = { part = 0.1, window = '10ms' }\n", 2, "from 1s to 1h"),
    ("[defaults]\nretry-budget = { part = 0.1, windwo = '5s' }\n", 2, "did you mean 'window'?"),
    ("[node]\nretry-budget = { part = 0.0, least = 0 }\n", 2, "this budget allows no retry at all"),
    ("[node]\ntenant = 'x'\n", 2, "did you mean 'tenant-header'?"),
    ("[category.lokup]\npushes = 2\n", 1, "there is no category 'lokup'; did you mean 'lookup'?"),
    ("[category]\nlookup = 3\n", 2, "must be a table"),
    // Faults of a single route.
    ("[route]\nname = 'a'\n", 1, "must be a list of tables"),
    ("[[route]]\nmatch = { path = '/a' }\npushes = 1\n", 1, "a route needs a name"),
    ("[[route]]\nname = ''\nmatch = { path = '/a' }\n", 2, "is empty"),
    ("[[route]]\nname = 'a'\npushes = 1\n", 1, "matches no request"),
    ("[[route]]\nname = 'a'\nmatch = {}\npushes = 1\n", 3, "has no condition"),
    ("[[route]]\nname = 'a'\nmatch = { path = 'a/b' }\n", 3, "does not begin with '/'"),
    ("[[route]]\nname = 'a'\nmatch = { path = '/a b' }\n", 3, "is not a path"),
    ("[[route]]\nname = 'a'\nmatch = { path = '/a?x=1' }\n", 3, "is not a path"),
    ("[[route]]\nname = 'a'\nmatch = { path = '/a/x{y}' }\n", 3, "a wildcard must be a whole segment, as '{name}'"),
    ("[[route]]\nname = 'a'\nmatch = { path = '/a/*/b' }\n", 3, "'*' must be the whole last segment"),
    ("[[route]]\nname = 'a'\nmatch = { path = '/a/{x}/*' }\n", 3, "a prefix must have no wildcard segments"),
    ("[[route]]\nname = 'a'\nmatch = { path = '/-/ready' }\n", 3, "no request reaches it"),
    ("[[route]]\nname = 'a'\nmatch = { method = 'GET' }\n", 3, "GET is not served, only POST"),
    ("[[route]]\nname = 'a'\nmatch = { tenant = 't' }\n", 3, "node.tenant-header is not set"),
    ("[[route]]\nname = 'a'\nmatch = { category = 'boking' }\n", 3, "did you mean 'booking'?"),
    ("[[route]]\nname = 'a'\nmatch = { categroy = 'booking' }\n", 3, "did you mean 'category'?"),
    ("[[route]]\nname = 'a'\nmatch = { header = { x = 1 } }\n", 3, "must be a text"),
    ("[[route]]\nname = 'a'\nbase = true\nmatch = { path = '/a' }\n", 4, "a base must have no match"),
    (
        "[[route]]\nname = 'a'\nmatch = { path = '/a' }\n[[route]]\nname = 'a'\nmatch = { path = '/b' }\n",
        5,
        "the name 'a' is taken",
    ),
    ("[[route]]\nname = 'a'\ninherits = 'b'\nmatch = { path = '/a' }\n", 3, "there is no route 'b'"),
    ("[[route]]\nname = 'a'\ninherits = 'a'\nmatch = { path = '/a' }\n", 3, "inheritance cycle: a from a"),
    (
        "[[route]]\nname = 'a'\ninherits = 'b'\nmatch = { path = '/a' }\n\
         [[route]]\nname = 'b'\ninherits = 'c'\nbase = true\n[[route]]\nname = 'c'\ninherits = 'a'\nbase = true\n",
        11,
        "inheritance cycle: a from b from c from a",
    ),
    (
        "[[route]]\nname = 'a'\nmatch = { path = '/a' }\npushes = 2\n\
         [[route]]\nname = 'b'\nmatch = { path = '/a' }\npushes = 3\n",
        6,
        "it never applies: 'a' takes precedence over it",
    ),
    // Limits that conflict with the platform's settings.
    ("[defaults]\npushes = 6\n", 2, "6 pushes are more than the 5 that the settings allow"),
    ("[category.lookup]\nop = '6s'\n", 2, "6000 ms is longer than the TTL of 5000 ms (category lookup) [rule 1]"),
    ("[defaults]\nop = '6s'\n", 2, "(category lookup)"),
    ("[category.booking]\nno-start = '10s'\n", 2, "longer than the TTL"),
    ("[category.booking]\nno-progress = '10s'\n", 2, "longer than the TTL"),
    ("[category.booking]\nconnect = '10s'\n", 2, "longer than the TTL"),
    ("[category.booking]\npause = '10s'\n", 2, "longer than the TTL"),
    ("[category.booking]\nwait = '10s'\n", 2, "longer than the TTL"),
    ("[category.booking]\ncopy-after = 0.9\n", 2, "would run it twice (category booking) [rule 2]"),
    ("[defaults]\ncopy-after = 0.9\n", 2, "would run it twice (category booking) [rule 2]"),
    ("[category.booking]\neffect = 'redeliverable'\n", 2, "an op could run twice"),
    ("[category.booking]\neffect = 'deduplicated'\n", 2, "an op could run twice"),
    ("[category.notice]\neffect = 'redeliverable'\n", 2, "[rule 2]"),
    ("[category.lookup]\neffect = 'deduplicated'\n", 2, "no executor drops a repeat"),
    ("[category.notice]\nresend-within = '4s'\n", 2, "longer than the 3000 ms in which repeats are dropped"),
    ("[category.notice]\nresend-group = 'all'\n", 2, "not within the group that drops repeats"),
    ("[category.notice]\nresend-group = 'cell'\n", 2, "not within the group that drops repeats, domain"),
    ("[category.notice]\nkinds = ['small']\n", 2, "runs only on kind 'large', which is left out"),
    // Two limits that conflict, set by one rule or by two.
    ("[category.lookup]\nop = '1s'\nno-start = '1s'\n", 3, "no-start of 1000 ms is not shorter than the op's 1000 ms"),
    ("[category.lookup]\nop = '1s'\nno-progress = '2s'\n", 3, "no-progress of 2000 ms"),
    ("[category.lookup]\nop = '1s'\npause = '2s'\n", 3, "pause of 2000 ms"),
    ("[category.lookup]\nop = '1s'\nwait = '2s'\n", 3, "wait of 2000 ms"),
    ("[category.lookup]\nconnect = '600ms'\nno-start = '500ms'\n", 3, "while it may connect for 600 ms"),
    ("[category.lookup]\ncopy-after = 0.9\npushes = 1\n", 3, "a second copy is a push, and there is only one"),
    ("[category.lookup]\ncopy-after = 0.9\neffect = 'at-most-once'\n", 3, "would run it twice"),
    ("[defaults]\nno-start = '2s'\n[category.lookup]\nop = '1s'\n", 4, "meets op of [category.lookup] (line 4)"),
    (
        "[[route]]\nname = 'copies'\nmatch = { path = '/a/*' }\ncopy-after = 0.9\n",
        4,
        "would run it twice (category booking)",
    ),
    (
        "[[route]]\nname = 'copies'\nmatch = { path = '/a/*', category = 'lookup' }\ncopy-after = 0.9\n\
         [[route]]\nname = 'once'\nmatch = { header = { x-urgent = '1' } }\neffect = 'at-most-once'\n",
        8,
        "copy-after of route 'copies' (line 4) meets effect of route 'once' (line 8)",
    ),
    (
        "[[route]]\nname = 'slow'\nmatch = { path = '/a/{x}' }\nno-start = '3s'\n\
         [[route]]\nname = 'short'\nmatch = { path = '/{y}/b' }\nop = '2s'\n",
        8,
        "no-start of route 'slow' (line 4) meets op of route 'short' (line 8)",
    ),
    // A conflict through three levels of inheritance.
    (
        "[[route]]\nname = 'grand'\nbase = true\nno-start = '3s'\n\
         [[route]]\nname = 'mother'\nbase = true\ninherits = 'grand'\npushes = 2\n\
         [[route]]\nname = 'child'\ninherits = 'mother'\nmatch = { path = '/a/*' }\npause = '10ms'\n\
         [[route]]\nname = 'other'\nmatch = { category = 'lookup' }\nop = '2s'\n",
        18,
        "no-start of route 'child' (line 4) meets op of route 'other' (line 18)",
    ),
];

/// Valid files that resemble some of the invalid ones above.
const VALID_FILES: &[&str] = &[
    "",
    "[defaults]\npushes = 5\nretry-budget = { part = 0.2 }\n",
    "[category.lookup]\nop = '5s'\ncopy-after = 0.95\n",
    "[node]\ntenant-header = 'X-Tenant'\n[[route]]\nname = 'a'\nmatch = { tenant = 't' }\nin-hand = 5\nwait = '1s'\n",
    // Wherever both routes match, the more specific one takes precedence, so the conflicting limits never apply together.
    "[[route]]\nname = 'slow'\nmatch = { path = '/a/*' }\nno-start = '3s'\n\
     [[route]]\nname = 'short'\nmatch = { path = '/a/b' }\nop = '2s'\nno-start = '1s'\n",
    "[[route]]\nname = 'copies'\nmatch = { path = '/a/*', category = 'lookup' }\ncopy-after = 0.9\n\
     [[route]]\nname = 'once'\nmatch = { category = 'booking' }\neffect = 'at-most-once'\n",
    "[[route]]\nname = 'a'\nmatch = { path = '/a', header = { x = '1' } }\nno-start = '3s'\n\
     [[route]]\nname = 'b'\nmatch = { path = '/a', header = { x = '2' } }\nop = '2s'\n",
    "[[route]]\nname = 'a'\nmatch = { path = '/a' }\npushes = 2\n\
     [[route]]\nname = 'b'\nmatch = { path = '/a' }\npushes = 3\npause = '1ms'\n",
];

#[test]
fn invalid_files_are_rejected_with_line_and_reason() {
    assert!(INVALID_FILES.len() >= 60, "{}", INVALID_FILES.len());
    for (text, line, reason) in INVALID_FILES {
        let faults = read(text).expect_err(text);
        let messages: Vec<String> = faults.iter().map(Fault::to_string).collect();
        let found =
            faults.iter().any(|fault| fault.position.line == *line && fault.to_string().contains(reason));
        assert!(found, "{text}\nline {line}: {reason}\n{messages:#?}");
        assert!(messages.iter().all(|line| line.lines().count() == 1), "{messages:?}");
    }
    for text in VALID_FILES {
        let messages = read(text).err().map(|faults| faults.iter().map(Fault::to_string).collect::<Vec<_>>());
        assert_eq!(messages, None, "{text}");
    }
    println!("routes: {} bad files refused", INVALID_FILES.len());
}

#[test]
fn hedging_is_rejected_where_the_settings_forbid_concurrent_pushes() {
    let mut platform = platform();
    platform.terms.hedging = false;
    let text = "[category.lookup]\ncopy-after = 0.9\n";
    let faults = common::read_on(text, &platform).unwrap_err();
    assert!(faults[0].to_string().ends_with("(category lookup) [rule 2]"), "{}", faults[0]);
    // All faults of a file are reported at once.
    let text = "[defaults]\npushes = 9\nop = '5'\n[category.lookup]\ncopy-after = 0.9\nfoo = 1\n";
    assert_eq!(common::read_on(text, &platform).unwrap_err().len(), 4);
}
