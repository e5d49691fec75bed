use super::*;

#[test]
fn the_exposition_is_in_the_text_format() {
    let mut exposition = Exposition::default();
    exposition.counter("a_total", "As.", &[("of", "x\"y\\")], 3);
    exposition.counter("a_total", "As.", &[("of", "z")], 4);
    let mut histogram = Histogram::default();
    [5, 6, 20_000].into_iter().for_each(|ms| histogram.record(ms));
    exposition.histogram("t_seconds", "Ts.", &histogram);
    let text = exposition.text();
    let expected_start =
        "# HELP a_total As.\n# TYPE a_total counter\na_total{of=\"x\\\"y\\\\\"} 3\na_total{of=\"z\"} 4\n";
    assert!(text.starts_with(expected_start), "{text}");
    for line in ["t_seconds_bucket{le=\"0.005\"} 1", "t_seconds_bucket{le=\"0.01\"} 2", "le=\"15\"} 2"] {
        assert!(text.contains(line), "{line}: {text}");
    }
    assert!(text.ends_with("le=\"+Inf\"} 3\nt_seconds_sum 20.011\nt_seconds_count 3\n"));
}
