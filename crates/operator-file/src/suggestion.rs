//! Suggests a known word for a misspelt one.

/// The Jaro-Winkler similarity, from 0 to 1, above which a known word is suggested.
const MIN_SIMILARITY: f64 = 0.75;

/// Returns `; did you mean 'x'?` with the candidate most similar to `given`, or an empty text if none is similar enough.
pub fn suggestion(given: &str, candidates: &[&str]) -> String {
    let similarity = |candidate: &str| strsim::jaro_winkler(given, candidate);
    match candidates.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b))) {
        Some(candidate) if similarity(candidate) > MIN_SIMILARITY => format!("; did you mean '{candidate}'?"),
        _ => String::new(),
    }
}
