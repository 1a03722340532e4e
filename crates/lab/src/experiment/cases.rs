//! The runs of an experiment: every point of its sweep, every policy, every seed.

use super::{Experiment, ExperimentError};

/// One run: an experiment with the values of its swept keys applied, a policy and a seed.
#[derive(Clone, Debug, PartialEq)]
pub struct Case {
    /// The experiment with these values.
    pub experiment: Experiment,
    /// The name of the policy.
    pub policy: String,
    /// The name of the variant in reports.
    pub variant: String,
    /// The values of swept keys, as text; empty without a sweep.
    pub point: String,
    /// The seed of random numbers.
    pub seed: u64,
}

/// Sets the value of a dotted key; returns whether the tree has the key.
fn set_key(tree: &mut toml::Value, key: &str, value: &toml::Value) -> bool {
    let mut at = tree;
    for part in key.split('.') {
        let next = match at {
            toml::Value::Table(table) => table.get_mut(part),
            toml::Value::Array(array) => part.parse().ok().and_then(|i: usize| array.get_mut(i)),
            _ => None,
        };
        let Some(next) = next else { return false };
        at = next;
    }
    *at = value.clone();
    true
}

impl Experiment {
    /// Returns the experiment with the values of some keys changed.
    fn with_changes(&self, changes: &[(&str, &toml::Value)]) -> Result<Experiment, ExperimentError> {
        if changes.is_empty() {
            return Ok(self.clone());
        }
        let mut tree = toml::Value::try_from(self).map_err(|e| ExperimentError::of("", e.to_string()))?;
        for (key, value) in changes {
            if !set_key(&mut tree, key, value) {
                return Err(ExperimentError::of(*key, "a key that experiments have"));
            }
        }
        let key = || changes.iter().map(|(key, _)| *key).collect::<Vec<_>>().join(", ");
        let read: Experiment =
            tree.try_into().map_err(|e: toml::de::Error| ExperimentError::of(key(), e.message()))?;
        read.check()?;
        Ok(read)
    }

    /// The combinations of all values of the swept keys.
    fn sweep_points(&self) -> Vec<Vec<(&str, &toml::Value)>> {
        let mut points = vec![Vec::new()];
        for (key, values) in &self.sweep {
            let mut extended = Vec::new();
            for point in &points {
                extended.extend(values.iter().map(|value| [&point[..], &[(key.as_str(), value)]].concat()));
            }
            points = extended;
        }
        points
    }

    /// All runs: every point of the sweep, every policy, every seed.
    pub fn cases(&self) -> Result<Vec<Case>, ExperimentError> {
        let mut cases = Vec::new();
        for point in self.sweep_points() {
            let name: Vec<String> = point.iter().map(|(key, value)| format!("{key}={value}")).collect();
            for variant in &self.compare {
                let variant_changes = variant.set.iter().map(|(key, value)| (key.as_str(), value));
                let changes: Vec<_> = point.iter().copied().chain(variant_changes).collect();
                let experiment = self.with_changes(&changes)?;
                cases.extend(self.seeds.iter().map(|seed| Case {
                    experiment: experiment.clone(),
                    policy: variant.policy.clone(),
                    variant: if variant.name.is_empty() { &variant.policy } else { &variant.name }.clone(),
                    point: name.join(" "),
                    seed: *seed,
                }));
            }
        }
        Ok(cases)
    }
}
