//! Schedules of operations, generated from a seed: series of steps that overlap.

use std::time::Duration;

use super::SoakSize;

/// One planned operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// SIGTERM to both processes of a front machine; each is restarted once it has exited.
    TerminateFront(usize),
    /// SIGHUP to both processes of a front machine, in whatever state they are.
    SighupFront(usize),
    /// SIGTERM to the process of a core machine; it is restarted once it has exited.
    TerminateCore(usize),
    /// SIGHUP to the process of a core machine.
    SighupCore(usize),
    /// SIGTERM to the agent of a front machine, not to its proxy.
    TerminateAgent(usize),
    /// A configuration with one additional route.
    ReplaceConfiguration,
    /// Two concurrent configurations on the same base version.
    ReplaceConfigurationConcurrently,
    /// A server is drained and replaced by another one at its address.
    ReplaceServer,
}

/// Steps ordered by their times since the start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Schedule {
    /// Time since the start, and step.
    pub(crate) steps: Vec<(Duration, Step)>,
}

/// Fraction of the duration within which a series may begin.
const SERIES_START_FRACTION: f64 = 0.7;
/// Mean intervals between the steps of a series, in milliseconds.
const MEAN_INTERVALS_MS: [u64; 4] = [20, 100, 300, 700];

impl Schedule {
    /// The schedule of a seed: two rolling restarts, a series of SIGHUPs, a series of configurations, and up
    /// to six more series.
    pub(crate) fn from_seed(seed: u64, size: SoakSize) -> Schedule {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut schedule = Schedule::default();
        schedule.add_rolling_restart(&mut random, size);
        schedule.add_rolling_restart(&mut random, size);
        schedule.add_sighups(&mut random, size);
        schedule.add_configurations(&mut random, size);
        for _ in 0..random.usize(..7) {
            match random.u8(..6) {
                0 => schedule.add_rolling_restart(&mut random, size),
                1 => schedule.add_sighups(&mut random, size),
                2 | 3 => schedule.add_configurations(&mut random, size),
                4 => schedule.add_server_replacements(&mut random, size),
                _ => schedule.add_agent_and_core_restarts(&mut random, size),
            }
        }
        schedule.steps.sort_by_key(|(at, _)| *at);
        schedule
    }

    /// Adds a rolling restart of front machines in random order, one or several at a time.
    fn add_rolling_restart(&mut self, random: &mut fastrand::Rng, size: SoakSize) {
        let mut fronts: Vec<usize> = (0..usize::from(size.fronts)).collect();
        random.shuffle(&mut fronts);
        let batch_size = random.usize(1..=fronts.len().div_ceil(3));
        let restarted = random.usize(1..=fronts.len());
        let batches = fronts[..restarted]
            .chunks(batch_size)
            .map(|batch| batch.iter().map(|front| Step::TerminateFront(*front)));
        self.add_series(random, size, batches.map(Iterator::collect).collect());
    }

    fn add_sighups(&mut self, random: &mut fastrand::Rng, size: SoakSize) {
        let mut steps: Vec<Step> = (0..usize::from(size.fronts)).map(Step::SighupFront).collect();
        steps.extend((0..usize::from(super::CORE_COUNT)).map(Step::SighupCore));
        random.shuffle(&mut steps);
        steps.truncate(random.usize(1..=steps.len()));
        self.add_series(random, size, steps.into_iter().map(|step| vec![step]).collect());
    }

    fn add_configurations(&mut self, random: &mut fastrand::Rng, size: SoakSize) {
        let step = |random: &mut fastrand::Rng| {
            if random.u8(..4) == 0 {
                Step::ReplaceConfigurationConcurrently
            } else {
                Step::ReplaceConfiguration
            }
        };
        let batches = (0..random.usize(1..12)).map(|_| vec![step(random)]).collect();
        self.add_series(random, size, batches);
    }

    fn add_server_replacements(&mut self, random: &mut fastrand::Rng, size: SoakSize) {
        let count = random.usize(1..usize::from(super::SERVER_COUNT));
        self.add_series(random, size, vec![vec![Step::ReplaceServer]; count]);
    }

    fn add_agent_and_core_restarts(&mut self, random: &mut fastrand::Rng, size: SoakSize) {
        let mut steps: Vec<Step> = (0..usize::from(size.fronts)).map(Step::TerminateAgent).collect();
        steps.push(Step::TerminateCore(random.usize(..usize::from(super::CORE_COUNT))));
        random.shuffle(&mut steps);
        steps.truncate(random.usize(1..=steps.len()));
        self.add_series(random, size, steps.into_iter().map(|step| vec![step]).collect());
    }

    /// Adds one series: a random start, then the batches at random intervals.
    fn add_series(&mut self, random: &mut fastrand::Rng, size: SoakSize, batches: Vec<Vec<Step>>) {
        let mut at = size.duration.mul_f64(SERIES_START_FRACTION * random.f64());
        let mean_interval = Duration::from_millis(MEAN_INTERVALS_MS[random.usize(..MEAN_INTERVALS_MS.len())]);
        for batch in batches {
            if at > size.duration {
                return;
            }
            self.steps.extend(batch.into_iter().map(|step| (at, step)));
            at += mean_interval.mul_f64(0.5 + random.f64());
        }
    }
}
