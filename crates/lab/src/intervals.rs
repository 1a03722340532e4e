//! Means over seeds with confidence intervals.

use serde::Serialize;

/// A mean, and half the width of its 95% confidence interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Estimate {
    /// The mean.
    pub mean: f64,
    /// Half the width of the interval; 0 if there is only one value, which has no interval.
    #[serde(rename = "within")]
    pub half_width: f64,
}

/// Student's t for 95%, by degrees of freedom from 1 on.
const T_QUANTILES: [f64; 15] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
];

/// The mean of independent values, and its interval by Student's distribution.
pub fn estimate(values: &[f64]) -> Estimate {
    let count = values.len() as f64;
    if values.is_empty() {
        return Estimate::default();
    }
    let mean = values.iter().sum::<f64>() / count;
    if values.len() == 1 {
        return Estimate { mean, half_width: 0.0 };
    }
    let spread = (values.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (count - 1.0)).sqrt();
    // Beyond the table, the quantile is close to that of the normal distribution.
    let t = T_QUANTILES.get(values.len() - 2).copied().unwrap_or(2.04);
    Estimate { mean, half_width: t * spread / count.sqrt() }
}
