//! Guesses what was meant by a misspelt word.

/// The least similarity of two words, by Jaro and Winkler, at which one is suggested for the other.
const MIN_SIMILARITY: f64 = 0.75;

/// `; did you mean 'x'?` for the most similar word, empty if none is similar.
pub fn suggestion(given: &str, words: &[&str]) -> String {
    let similarity = |word: &str| strsim::jaro_winkler(given, word);
    match words.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b))) {
        Some(word) if similarity(word) > MIN_SIMILARITY => format!("; did you mean '{word}'?"),
        _ => String::new(),
    }
}
