//! How a figure grows with the size of the fleet, and how far runs differ.

/// The power of the size with which a value grows: the slope of `ln value` over `ln size` by least squares. 1 is proportional to
/// the fleet, 2 its square. `None` if fewer than two sizes have a positive value.
pub fn power(points: &[(f64, f64)]) -> Option<f64> {
    let logs: Vec<(f64, f64)> = points
        .iter()
        .filter(|(_, value)| *value > 0.0)
        .map(|(size, value)| (size.ln(), value.ln()))
        .collect();
    if logs.len() < 2 {
        return None;
    }
    let count = logs.len() as f64;
    let mean_x = logs.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = logs.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance = logs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
    let variance = logs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
    (variance > 0.0).then(|| covariance / variance)
}

/// The least, the median and the greatest value of some runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// The least value.
    pub least: f64,
    /// The median.
    pub median: f64,
    /// The greatest value.
    pub greatest: f64,
}

impl Spread {
    /// The spread of these values; all zero if there are none.
    pub fn of(mut values: Vec<f64>) -> Spread {
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or_default();
        Spread { least: at(0), median: at(values.len() / 2), greatest: at(values.len().saturating_sub(1)) }
    }
}
