//! When what is done, drawn from a seed: series that overlap.

use std::time::Duration;

use super::Size;

/// One piece of planned work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// SIGTERM to both processes of a front machine; each starts again once it has ended.
    EndFront(usize),
    /// SIGHUP to both processes of a front machine, whatever they are about.
    HangUpFront(usize),
    /// SIGTERM to a machine of the core; it starts again once it has ended.
    EndCore(usize),
    /// SIGHUP to a machine of the core.
    HangUpCore(usize),
    /// SIGTERM to the agent of a front machine alone.
    EndAgent(usize),
    /// A configuration with one route more.
    Configure,
    /// Two configurations on the same version at once.
    ConfigureTwice,
    /// A server leaves and comes back as another one.
    Replace,
}

/// Steps in the order of their times, counted from the start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Schedule {
    /// Times and steps.
    pub(crate) steps: Vec<(Duration, Step)>,
}

/// Part of the length within which a series may begin.
const BEGINS_WITHIN: f64 = 0.7;
/// Gaps between the steps of a series, in milliseconds.
const GAPS_MS: [u64; 4] = [20, 100, 300, 700];

impl Schedule {
    /// The series of a seed: two rolls, a series of SIGHUPs, a series of configurations, and up to six more.
    pub(crate) fn draw(seed: u64, size: Size) -> Schedule {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut schedule = Schedule::default();
        schedule.roll(&mut random, size);
        schedule.roll(&mut random, size);
        schedule.hang_up(&mut random, size);
        schedule.configure(&mut random, size);
        for _ in 0..random.usize(..7) {
            match random.u8(..6) {
                0 => schedule.roll(&mut random, size),
                1 => schedule.hang_up(&mut random, size),
                2 | 3 => schedule.configure(&mut random, size),
                4 => schedule.replace(&mut random, size),
                _ => schedule.end_others(&mut random, size),
            }
        }
        schedule.steps.sort_by_key(|(at, _)| *at);
        schedule
    }

    /// Front machines in a random order, one or several at a time.
    fn roll(&mut self, random: &mut fastrand::Rng, size: Size) {
        let mut fronts: Vec<usize> = (0..usize::from(size.fronts)).collect();
        random.shuffle(&mut fronts);
        let at_once = random.usize(1..=fronts.len().div_ceil(3));
        let ended = random.usize(1..=fronts.len());
        let waves =
            fronts[..ended].chunks(at_once).map(|wave| wave.iter().map(|front| Step::EndFront(*front)));
        self.series(random, size, waves.map(Iterator::collect).collect());
    }

    fn hang_up(&mut self, random: &mut fastrand::Rng, size: Size) {
        let mut steps: Vec<Step> = (0..usize::from(size.fronts)).map(Step::HangUpFront).collect();
        steps.extend((0..usize::from(super::CORES)).map(Step::HangUpCore));
        random.shuffle(&mut steps);
        steps.truncate(random.usize(1..=steps.len()));
        self.series(random, size, steps.into_iter().map(|step| vec![step]).collect());
    }

    fn configure(&mut self, random: &mut fastrand::Rng, size: Size) {
        let step = |random: &mut fastrand::Rng| {
            if random.u8(..4) == 0 { Step::ConfigureTwice } else { Step::Configure }
        };
        let waves = (0..random.usize(1..12)).map(|_| vec![step(random)]).collect();
        self.series(random, size, waves);
    }

    fn replace(&mut self, random: &mut fastrand::Rng, size: Size) {
        let count = random.usize(1..usize::from(super::SERVERS));
        self.series(random, size, vec![vec![Step::Replace]; count]);
    }

    fn end_others(&mut self, random: &mut fastrand::Rng, size: Size) {
        let mut steps: Vec<Step> = (0..usize::from(size.fronts)).map(Step::EndAgent).collect();
        steps.push(Step::EndCore(random.usize(..usize::from(super::CORES))));
        random.shuffle(&mut steps);
        steps.truncate(random.usize(1..=steps.len()));
        self.series(random, size, steps.into_iter().map(|step| vec![step]).collect());
    }

    fn series(&mut self, random: &mut fastrand::Rng, size: Size, waves: Vec<Vec<Step>>) {
        let mut at = size.length.mul_f64(BEGINS_WITHIN * random.f64());
        let gap = Duration::from_millis(GAPS_MS[random.usize(..GAPS_MS.len())]);
        for wave in waves {
            if at > size.length {
                return;
            }
            self.steps.extend(wave.into_iter().map(|step| (at, step)));
            at += gap.mul_f64(0.5 + random.f64());
        }
    }
}
