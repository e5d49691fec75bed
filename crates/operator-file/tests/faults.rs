//! Tests the complete text of every fault that reading a file can report, with line, column and key.

use stileroute_operator_file::{load, read, Fault, Section};

/// The faults of a file, one text each.
fn faults(text: &str, read_sections: impl FnOnce(&Section)) -> Vec<String> {
    let read = read("f.toml", text, |keys| {
        read_sections(keys);
        Some(())
    });
    read.err().unwrap_or_default().iter().map(Fault::to_string).collect()
}

#[test]
fn each_type_of_value_reports_its_faults() {
    type ReadKeys = fn(&Section);
    let cases: [(&str, ReadKeys, &str); 32] = [
        ("a = 1", |keys| drop(keys.text("a")), "f.toml:1:1: a: must be a text in quotes, not a whole number"),
        ("\na = ''", |keys| drop(keys.text("a")), "f.toml:2:1: a: is empty"),
        (
            "a = 1.5",
            |keys| drop(keys.choice("a", &[("x", 1)])),
            "f.toml:1:1: a: must be a word in quotes, not a number",
        ),
        (
            "a = 'q'",
            |keys| drop(keys.choice("a", &[("x", 1), ("y", 2)])),
            "f.toml:1:1: a: 'q' is none of x, y",
        ),
        (
            "  a = 'slwo'",
            |keys| drop(keys.choice("a", &[("slow", 1)])),
            "f.toml:1:3: a: 'slwo' is none of slow; did you mean 'slow'?",
        ),
        (
            "a = true",
            |keys| drop(keys.time("a")),
            "f.toml:1:1: a: must be a time with its unit, as \"250ms\", not true or false",
        ),
        ("a = '5'", |keys| drop(keys.time("a")), "f.toml:1:1: a: '5' has no unit: ms, s, m or h"),
        ("a = ''", |keys| drop(keys.time("a")), "f.toml:1:1: a: '' has no unit: ms, s, m or h"),
        ("a = '25h'", |keys| drop(keys.time("a")), "f.toml:1:1: a: '25h' is more than 24h"),
        ("a = []", |keys| drop(keys.flag("a")), "f.toml:1:1: a: must be true or false, not a list"),
        ("a = {}", |keys| drop(keys.number("a", 0.0..=1.0)), "f.toml:1:1: a: must be a number, not a table"),
        ("a = 2", |keys| drop(keys.number("a", 0.0..=1.5)), "f.toml:1:1: a: must be from 0 to 1.5"),
        ("a = nan", |keys| drop(keys.number("a", 0.0..=1.5)), "f.toml:1:1: a: must be from 0 to 1.5"),
        (
            "a = 1979-05-27",
            |keys| drop(keys.count("a", 1..=3)),
            "f.toml:1:1: a: must be a whole number, not a date",
        ),
        ("a = 4", |keys| drop(keys.count("a", 1..=3)), "f.toml:1:1: a: must be a whole number from 1 to 3"),
        ("a = -1", |keys| drop(keys.count("a", 0..=3)), "f.toml:1:1: a: must be a whole number from 0 to 3"),
        ("a = 'x'", |keys| drop(keys.text_list("a")), "f.toml:1:1: a: must be a list of texts, not a text"),
        ("a = []", |keys| drop(keys.text_list("a")), "f.toml:1:1: a: is an empty list"),
        (
            "a = ['x', 1]",
            |keys| drop(keys.text_list("a")),
            "f.toml:1:11: a: must be a text, not a whole number",
        ),
        ("a = 1", |keys| drop(keys.table("a")), "f.toml:1:1: a: must be a table, not a whole number"),
        ("a = 1", |keys| drop(keys.tables("a")), "f.toml:1:1: a: must be a list of tables: [[a]]"),
        ("a = [{}, 1]", |keys| drop(keys.tables("a")), "f.toml:1:10: a[1]: must be a table"),
        ("[a]\nb = 1", |keys| drop(keys.named_tables("a")), "f.toml:2:1: a.b: must be a table"),
        (
            "[a]\nb = 1",
            |keys| drop(keys.named_texts("a")),
            "f.toml:2:1: a.b: must be a text, not a whole number",
        ),
        ("a = 1", |keys| drop(keys.named_tables("a")), "f.toml:1:1: a: must be a table, not a whole number"),
        ("x = 1", |_| (), "f.toml:1:1: x: is not known"),
        ("wiat = 1", |keys| drop(keys.flag("wait")), "f.toml:1:1: wiat: is not known; did you mean 'wait'?"),
        (
            "[a]\nb.c = 1",
            |keys| {
                let inner = keys.table("a").and_then(|a| a.table("b")).expect("a table");
                assert_eq!(inner.position().to_string(), "line 2, a.b");
                drop(inner.flag("c"));
            },
            "f.toml:2:3: a.b.c: must be true or false, not a whole number",
        ),
        (
            "[[a]]\n[[a]]\nb = 1",
            |keys| keys.tables("a").into_iter().for_each(|entry| entry.finish()),
            "f.toml:3:1: a[1].b: is not known",
        ),
        (
            "[a.b]\nc = 1",
            |keys| {
                for (name, inner) in keys.named_tables("a") {
                    assert_eq!((name.value.as_str(), name.position.line, name.position.column), ("b", 1, 4));
                    inner.finish();
                }
            },
            "f.toml:2:1: a.b.c: is not known",
        ),
        ("a = 1\na = 2", |_| (), "f.toml:2:1: file: duplicate key"),
        (
            "",
            |keys| {
                keys.log().add(
                    keys.position(),
                    "one\ntwo",
                    Some(stileroute_operator_file::SafetyRule::NoNewWorkWhileDraining),
                )
            },
            "f.toml:1:1: file: one two [rule 3]",
        ),
    ];
    for (text, read_keys, expected) in cases {
        assert_eq!(faults(text, read_keys), [expected], "{text:?}");
    }
    let wrong = faults("a = '5 parsecs'", |keys| drop(keys.time("a")));
    assert_eq!(wrong.len(), 1);
    assert!(wrong[0].starts_with("f.toml:1:1: a: '5 parsecs' is not a time: "), "{wrong:?}");
}

#[test]
fn valid_values_are_read() {
    let text =
        "text = 't'\nword = 'y'\ntime = '1m 0.25s'\nflag = true\nnumber = 0x10\nfloat = 0.5\ncount = 3\n\
                texts = ['a', 'b']\n[pairs]\nk = 'v'\n";
    let read = read("f.toml", text, |keys| {
        assert_eq!(keys.text("text")?.value, "t");
        assert_eq!(keys.choice("word", &[("x", 1), ("y", 2)])?.value, 2);
        assert!(*keys.flag("flag")?);
        assert_eq!(*keys.number("number", 0.0..=16.0)?, 16.0);
        assert_eq!(*keys.number("float", 0.0..=1.0)?, 0.5);
        assert_eq!(*keys.count("count", 0..=3)?, 3);
        let texts: Vec<String> =
            keys.text_list("texts")?.value.iter().map(|text| text.value.clone()).collect();
        assert_eq!(texts, ["a", "b"]);
        let pairs = keys.named_texts("pairs");
        assert_eq!((pairs[0].0.value.as_str(), pairs[0].1.as_str(), pairs.len()), ("k", "v", 1));
        assert!(
            keys.text("none").is_none()
                && keys.tables("none").is_empty()
                && keys.named_tables("none").is_empty()
        );
        Some(())
    });
    let faults: Vec<String> = read.err().unwrap_or_default().iter().map(Fault::to_string).collect();
    assert_eq!(faults, ["f.toml:3:1: time: is not known"], "the key `time` was not asked for");
    let time = |text: &str| {
        let text = format!("time = '{text}'");
        stileroute_operator_file::read("f.toml", &text, |keys| keys.time("time").map(|time| time.value))
    };
    assert_eq!(time("1m 30s 250ms"), Ok(902_500));
    assert_eq!(time("24h"), Ok(864_000_000));
    assert_eq!(time("100us"), Ok(1));
}

#[test]
fn an_unreadable_file_has_one_fault() {
    let path = std::env::temp_dir().join(format!("stileroute-operator-file-{}.toml", std::process::id()));
    let faults = load(&path).unwrap_err();
    let texts: Vec<String> = faults.iter().map(Fault::to_string).collect();
    assert_eq!(texts, [format!("{}:1:1: file: No such file or directory (os error 2)", path.display())]);
    std::fs::write(&path, "a = 1\n").unwrap();
    let text = load(&path);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(text, Ok("a = 1\n".to_string()));
}

#[test]
fn all_faults_are_reported_at_once_with_their_positions() {
    let text =
        "wait = \"5\"\nshare = 2\nnmae = \"x\"\nmode = \"slwo\"\n[inner]\nflag = 1\nlong = \"99999h\"\n";
    let faults = stileroute_operator_file::read("f.toml", text, |keys| {
        keys.time("wait");
        keys.number("share", 0.0..=1.0);
        keys.text("name");
        keys.choice("mode", &[("slow", 1), ("fast", 2)]);
        let inner = keys.table("inner")?;
        inner.flag("flag");
        inner.time("long");
        inner.finish();
        Some(())
    })
    .unwrap_err();
    let texts: Vec<String> = faults.iter().map(Fault::to_string).collect();
    let expected = [
        "f.toml:1:1: wait: '5' has no unit: ms, s, m or h",
        "f.toml:2:1: share: must be from 0 to 1",
        "f.toml:3:1: nmae: is not known; did you mean 'name'?",
        "f.toml:4:1: mode: 'slwo' is none of slow, fast; did you mean 'slow'?",
        "f.toml:6:1: inner.flag: must be true or false, not a whole number",
        "f.toml:7:1: inner.long: '99999h' is more than 24h",
    ];
    assert_eq!(texts, expected);
    let faults = stileroute_operator_file::read("f.toml", "a = \n", |_| Some(())).unwrap_err();
    assert!(faults.len() == 1 && faults[0].position.line == 1, "{faults:?}");
}
