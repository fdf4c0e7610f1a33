use std::fmt;
use std::str::FromStr;

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

/// Demand of a pool relative to its mean while another pool surges.
const LOW: f64 = 0.05;

/// Demand of a pool relative to its mean during its turn.
const HIGH: f64 = 4.0;

/// Length of a turn, in milliseconds.
const TURN_MS: u64 = 4_500;

/// Bounds of the length of an uneven turn, in milliseconds.
const UNEVEN_TURN_MS: std::ops::Range<u64> = 4_000..11_000;

/// Peak of a smooth surge relative to its mean, which is that of half a sine wave.
const PEAK_TO_MEAN: f64 = std::f64::consts::FRAC_PI_2;

/// Mean time between two bursts of a pool, in seconds.
const BURST_GAP_SECONDS: f64 = 14.0;

/// Length of a daily curve in virtual time, in milliseconds.
const DAY_MS: u64 = 24_000;

/// Multiple of its usual demand that a hot team sends.
const HOT_TEAM: f64 = 5.0;

/// Pattern of the demand over time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemandFamily {
    /// The pools surge one after another in a fixed order, for the same time.
    Turns,
    /// The pools surge one after another in a new random order each round.
    RandomTurns,
    /// The pools surge one after another in a fixed order, for different times, and their demand
    /// rises and falls smoothly.
    UnevenTurns,
    /// The demand of each pool follows a smooth curve; their peaks are spread over the day.
    Daily,
    /// Each pool surges at random times, whatever the others do.
    Bursts,
    /// All pools surge at the same time.
    Together,
    /// The pools surge in turn, and one team sends several times its usual demand for some seconds.
    HotTeam,
    /// The demand is steady.
    Steady,
}

impl DemandFamily {
    /// All families.
    pub const ALL: [Self; 8] = [
        Self::Turns,
        Self::RandomTurns,
        Self::UnevenTurns,
        Self::Daily,
        Self::Bursts,
        Self::Together,
        Self::HotTeam,
        Self::Steady,
    ];

    /// Name of the family on the command line and in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Turns => "turns",
            Self::RandomTurns => "random-turns",
            Self::UnevenTurns => "uneven-turns",
            Self::Daily => "daily",
            Self::Bursts => "bursts",
            Self::Together => "together",
            Self::HotTeam => "hot-team",
            Self::Steady => "steady",
        }
    }
}

impl fmt::Display for DemandFamily {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

impl FromStr for DemandFamily {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut families = Self::ALL.into_iter();
        families
            .find(|family| family.name() == text)
            .ok_or_else(|| {
                let names = Self::ALL.map(Self::name).join(", ");
                format!("no demand family {text:?}; there are {names}")
            })
    }
}

/// Period in which the demand of a pool is a constant multiple of its mean.
#[derive(Debug, Clone, Copy)]
struct Period {
    starts_ms: u64,
    pool: usize,
    length_ms: u64,
}

/// Demand of the pools over a simulated time.
#[derive(Debug)]
pub(super) struct DemandCurve {
    family: DemandFamily,
    pools: usize,
    surges: Vec<Period>,
    /// Period in which the first team sends more than usual.
    hot_team: Option<std::ops::Range<u64>>,
}

impl DemandCurve {
    /// Draws the surges of a time of `length_ms` milliseconds.
    pub(super) fn new(
        family: DemandFamily,
        pools: usize,
        length_ms: u64,
        random: &mut impl Rng,
    ) -> Self {
        let surges = match family {
            DemandFamily::Turns | DemandFamily::HotTeam => {
                turns(pools, length_ms, |_| TURN_MS, false, random)
            }
            DemandFamily::RandomTurns => turns(pools, length_ms, |_| TURN_MS, true, random),
            DemandFamily::UnevenTurns => {
                let lengths: Vec<u64> = (0..pools)
                    .map(|_| random.random_range(UNEVEN_TURN_MS))
                    .collect();
                turns(pools, length_ms, |pool| lengths[pool], false, random)
            }
            DemandFamily::Bursts => bursts(pools, length_ms, random),
            DemandFamily::Together => together(pools, length_ms),
            DemandFamily::Daily | DemandFamily::Steady => Vec::new(),
        };
        let hot_team = (family == DemandFamily::HotTeam).then(|| {
            let start = random.random_range(0..length_ms / 2);
            start..start + length_ms / 4
        });
        Self {
            family,
            pools,
            surges,
            hot_team,
        }
    }

    /// Demand of a pool relative to its mean.
    #[expect(clippy::cast_precision_loss, reason = "times are short")]
    pub(super) fn pool_factor(&self, pool: usize, now_ms: u64) -> f64 {
        match self.family {
            DemandFamily::Steady => 1.0,
            DemandFamily::Daily => {
                let phase = now_ms as f64 / DAY_MS as f64 + pool as f64 / self.pools as f64;
                1.0 + 0.8 * (phase * std::f64::consts::TAU).sin()
            }
            _ => {
                let mut surges = self.surges.iter();
                let surge = surges.find(|surge| {
                    let period = surge.starts_ms..surge.starts_ms + surge.length_ms;
                    surge.pool == pool && period.contains(&now_ms)
                });
                match (surge, self.family) {
                    (None, _) => LOW,
                    (Some(surge), DemandFamily::UnevenTurns) => {
                        let part = (now_ms - surge.starts_ms) as f64 / surge.length_ms as f64;
                        LOW + HIGH * PEAK_TO_MEAN * (part * std::f64::consts::PI).sin()
                    }
                    // The fleet could not hold four pools at their own peaks.
                    (Some(_), DemandFamily::Together) => HIGH / 2.0,
                    (Some(_), _) => HIGH,
                }
            }
        }
    }

    /// Demand of a team relative to its usual.
    pub(super) fn team_factor(&self, team: usize, now_ms: u64) -> f64 {
        let hot = self.hot_team.as_ref();
        if team == 0 && hot.is_some_and(|period| period.contains(&now_ms)) {
            HOT_TEAM
        } else {
            1.0
        }
    }
}

fn turns(
    pools: usize,
    length_ms: u64,
    turn_ms: impl Fn(usize) -> u64,
    is_shuffled: bool,
    random: &mut impl Rng,
) -> Vec<Period> {
    let mut order: Vec<usize> = (0..pools).collect();
    order.shuffle(random);
    let mut surges = Vec::new();
    let mut starts_ms = 0;
    while starts_ms < length_ms {
        if is_shuffled {
            order.shuffle(random);
        }
        for &pool in &order {
            let length_ms = turn_ms(pool);
            surges.push(Period {
                starts_ms,
                pool,
                length_ms,
            });
            starts_ms += length_ms;
        }
    }
    surges
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times are short and not negative"
)]
fn bursts(pools: usize, length_ms: u64, random: &mut impl Rng) -> Vec<Period> {
    let mut surges = Vec::new();
    for pool in 0..pools {
        let mut starts_ms = 0;
        loop {
            let gap = -BURST_GAP_SECONDS * random.random_range(f64::EPSILON..1.0).ln();
            starts_ms += (gap * 1_000.0) as u64;
            if starts_ms >= length_ms {
                break;
            }
            surges.push(Period {
                starts_ms,
                pool,
                length_ms: TURN_MS,
            });
            starts_ms += TURN_MS;
        }
    }
    surges
}

fn together(pools: usize, length_ms: u64) -> Vec<Period> {
    let starts = (0..length_ms).step_by(usize::try_from(2 * TURN_MS).unwrap_or(usize::MAX));
    let surges = starts.flat_map(|starts_ms| {
        (0..pools).map(move |pool| Period {
            starts_ms,
            pool,
            length_ms: TURN_MS,
        })
    });
    surges.collect()
}
