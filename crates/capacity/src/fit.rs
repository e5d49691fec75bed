//! The power of the fleet's size with which a figure grows.

/// The slope of `ln value` over `ln size`, by least squares: 1 is in proportion to the fleet, 2 its square. None where
/// fewer than two sizes have a value above nought.
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
    let over = logs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
    let under = logs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
    (under > 0.0).then(|| over / under)
}

/// The least, the middle and the greatest of some runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    pub least: f64,
    pub middle: f64,
    pub most: f64,
}

impl Spread {
    pub fn of(mut values: Vec<f64>) -> Spread {
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or_default();
        Spread { least: at(0), middle: at(values.len() / 2), most: at(values.len().saturating_sub(1)) }
    }
}
