//! Councils of a fleet in memory and simulated time: that views come about, whatever order they start and ask in.

use dunelink_view::{Bounds, Council, Input, Micros, Names, Output, Process, Settings, Side};

const NAMES: [u64; 5] = [1, 2, 3, 4, 5];
const S: Micros = 1_000_000;

struct Net {
    councils: Vec<Council>,
    /// Who can't reach whom.
    cut: Box<dyn Fn(usize, usize) -> bool>,
    now: Micros,
    dice: fastrand::Rng,
    under_way: Vec<(Micros, usize, usize, dunelink_view::Wire)>,
    chairs: Vec<bool>,
}

impl Net {
    fn new(seed: u64) -> Net {
        let council = |name: &u64| {
            let settings = Settings {
                me: Process { name: *name, instance: seed * 31 + name },
                names: Names::new(NAMES),
                bounds: Bounds { lease: 2 * S, drift: 500 },
                nodes: NAMES.len(),
                seed: seed * 1_000_003 + name,
            };
            Council::new(settings, 0)
        };
        Net {
            councils: NAMES.iter().map(council).collect(),
            cut: Box::new(|_, _| false),
            now: 0,
            dice: fastrand::Rng::with_seed(seed),
            under_way: Vec::new(),
            chairs: vec![false; NAMES.len()],
        }
    }

    fn tell(&mut self, at: usize, input: Input, seed: u64) {
        let mut out = Vec::new();
        self.councils[at].handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Send(name, wire) => {
                    let to = NAMES.iter().position(|other| *other == name).unwrap();
                    if !(self.cut)(at, to) {
                        let delay = if to == at { 0 } else { self.dice.u64(200..3_000) };
                        self.under_way.push((self.now + delay, at, to, wire));
                    }
                }
                Output::Chair(held) => {
                    self.chairs[at] = held;
                    assert!(self.chairs.iter().filter(|held| **held).count() <= 1, "seed {seed}: two chairs");
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, span: Micros, seed: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1_000;
            let (due, later) = self.under_way.drain(..).partition(|(at, ..)| *at <= self.now);
            self.under_way = later;
            let due: Vec<_> = due;
            for (_, from, to, wire) in due {
                let process = Process { name: NAMES[from], instance: seed * 31 + NAMES[from] };
                self.tell(to, Input::Heard(process, wire), seed);
            }
            for at in 0..NAMES.len() {
                let process =
                    |other: usize| Process { name: NAMES[other], instance: seed * 31 + NAMES[other] };
                if self.now.is_multiple_of(200_000) {
                    let there = (0..NAMES.len()).filter(|other| !(self.cut)(*other, at) && *other != at);
                    self.tell(at, Input::There(there.map(process).collect()), seed);
                } else {
                    self.tell(at, Input::Tick, seed);
                }
            }
        }
    }
}

/// All electors wait for the same time and ask at once: the chair must not stay split among them.
#[test]
fn a_view_of_all_comes_about_soon_and_again_after_a_cut() {
    for seed in 1..=40 {
        let mut net = Net::new(seed);
        net.run(7 * S, seed);
        for council in &net.councils {
            let stands = council.standing(net.now);
            assert_eq!(stands.view.map(|view| view.members.len()), Some(5), "seed {seed}");
            assert!(stands.name_for > 0 && (stands.part - 0.2).abs() < 1e-9, "seed {seed}: {}", stands.part);
        }
        net.cut = Box::new(|from, to| (from < 2) != (to < 2));
        net.run(6 * S, seed);
        let stands: Vec<_> = net.councils.iter().map(|council| council.standing(net.now)).collect();
        assert!(stands[..2].iter().all(|s| s.side == Side::Minority && s.name_for == 0), "seed {seed}");
        assert!(stands[2..].iter().all(|s| s.view.as_ref().unwrap().members.len() == 3), "seed {seed}");
        assert!(stands.iter().map(|s| s.part).sum::<f64>() <= dunelink_view::MOST, "seed {seed}");
        net.cut = Box::new(|_, _| false);
        net.run(5 * S, seed);
        let whole = net.councils.iter().all(|c| c.standing(net.now).view.unwrap().members.len() == 5);
        assert!(whole, "seed {seed}");
    }
}
