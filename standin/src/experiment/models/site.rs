//! The sites' sizes and the requests that come.

use std::collections::BTreeMap;
use std::time::Duration;

use basilgw::ids::{AdapterId, ClientAccount, Generation, ModelId};
use basilgw::schema::declaration::{Adapter, Declaration, Model, Priority};
use basilgw::store::{Instance, InstanceKind, InstanceState};
use basilgw::units::{Bytes, Tokens};
use bpaf::Bpaf;
use compact_str::format_compact;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use super::farm::version;

const GIB: u64 = 1 << 30;
const ENGINE_MEMORY: Bytes = Bytes(80 * GIB);
/// Least memory for the KV cache of each replica.
pub const FLOOR: Bytes = Bytes(4 * GIB);
const ADAPTER_BYTES: Bytes = Bytes(GIB / 4);
const SLOTS: u32 = 6;
const ADAPTER_SHARE: f64 = 0.3;
const SHARES: [f64; 5] = [0.4, 0.25, 0.15, 0.12, 0.08];
const BURST_SPAN: Duration = Duration::from_secs(2);
const MEAN_BURST: f64 = 8.0;

/// Whose sizes are used
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Bpaf)]
#[serde(rename_all = "lowercase")]
pub enum Site {
    /// Orbitalny Most
    Orbitalny,
    /// Heatline Svømmedata
    Heatline,
}

impl std::str::FromStr for Site {
    type Err = SiteError;

    fn from_str(text: &str) -> Result<Self, SiteError> {
        match text {
            "orbitalny" => Ok(Self::Orbitalny),
            "heatline" => Ok(Self::Heatline),
            _ => Err(SiteError),
        }
    }
}

/// The name is not a site's.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("expected orbitalny or heatline")]
pub struct SiteError;

/// Sizes of a site.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Entry VMs.
    pub vms: usize,
    /// Engines.
    pub engines: usize,
    models: usize,
    adapters: usize,
    /// Loads the weight store starts a second.
    pub starts: u32,
    /// Bursts of requests a second, over all accounts.
    pub bursts: f64,
}

impl Site {
    /// Its sizes.
    pub fn sizes(self) -> Sizes {
        match self {
            Self::Orbitalny => Sizes {
                vms: 9,
                engines: 9,
                models: 30,
                adapters: 40,
                starts: 2,
                bursts: 0.8,
            },
            Self::Heatline => Sizes {
                vms: 8,
                engines: 18,
                models: 40,
                adapters: 90,
                starts: 5,
                bursts: 1.6,
            },
        }
    }
}

/// A name that is known to be one.
pub fn name<T>(prefix: &str, n: usize) -> T
where
    T: std::str::FromStr,
{
    let text = format_compact!("{prefix}{n:02}");
    text.parse().unwrap_or_else(|_| unreachable!())
}

/// The engines; `fenced` where they refuse old fencing numbers.
pub fn engines(sizes: Sizes, fenced: bool) -> Vec<Instance> {
    let engine = |n| Instance {
        address: format_compact!("127.0.0.1:{}", n + 1),
        centre: name("dc", n % 3),
        fenced,
        generation: Generation(1),
        kind: InstanceKind::Engine,
        memory: Some(ENGINE_MEMORY),
        service: None,
        state: InstanceState::Live,
        vm: name("engine", n),
    };
    (0..sizes.engines).map(engine).collect()
}

/// The models and adapters.
pub fn declaration(sizes: Sizes, seed: u64) -> Declaration {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x6d6f_6465);
    let mut model = |n| {
        let model = Model {
            floor: FLOOR,
            maximum: 2,
            minimum: 0,
            slots: SLOTS,
            version: version(),
            weights: Bytes(rng.random_range(8..32) * GIB),
        };
        (name::<ModelId>("model", n), model)
    };
    let models: BTreeMap<_, _> = (0..sizes.models).map(&mut model).collect();
    let adapter = |n| {
        let adapter = Adapter {
            model: name("model", n % sizes.models),
            version: version(),
            weights: ADAPTER_BYTES,
        };
        (name::<AdapterId>("adapter", n), adapter)
    };
    Declaration {
        models,
        adapters: (0..sizes.adapters).map(adapter).collect(),
        ..Declaration::default()
    }
}

/// A request that comes.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When, since the start.
    pub at: Duration,
    /// At which VM.
    pub vm: usize,
    /// From which account.
    pub account: ClientAccount,
    /// For which model.
    pub model: ModelId,
    /// With which adapter.
    pub adapter: Option<AdapterId>,
    /// How urgent.
    pub priority: Priority,
    /// How much work.
    pub work: Tokens,
    /// Time it has.
    pub patience: Duration,
}

/// The requests of a run. Each account has its own draws, so that one account's flood leaves the
/// others' requests as they are.
pub fn arrivals(sizes: Sizes, seed: u64, span: Duration, factors: [f64; 5]) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (n, share) in SHARES.iter().enumerate() {
        let rate = sizes.bursts * share * factors[n];
        all.extend(account_arrivals(sizes, seed, span, n, rate));
    }
    all.sort_by_key(|a| a.at);
    all
}

fn account_arrivals(
    sizes: Sizes,
    seed: u64,
    span: Duration,
    account: usize,
    rate: f64,
) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(account as u64));
    let mut at = Duration::ZERO;
    let mut arrivals = Vec::new();
    loop {
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        if at >= span {
            return arrivals;
        }
        let model = zipf(&mut rng, sizes.models);
        let count = 1 + (-(1.0 - rng.random::<f64>()).ln() * MEAN_BURST) as usize;
        for _ in 0..count.min(40) {
            let at = at + BURST_SPAN.mul_f64(rng.random());
            arrivals.push(arrival(&mut rng, sizes, at, account, model));
        }
    }
}

fn arrival(rng: &mut StdRng, sizes: Sizes, at: Duration, account: usize, model: usize) -> Arrival {
    let own = (0..sizes.adapters).filter(|a| a % sizes.models == model);
    let own: Vec<usize> = own.collect();
    let with = rng.random::<f64>() < ADAPTER_SHARE && !own.is_empty();
    let adapter = with.then(|| name("adapter", own[rng.random_range(0..own.len())]));
    let (priority, patience) = match rng.random_range(0..10) {
        0..6 => (Priority::Interactive, 30),
        6..9 => (Priority::Review, 60),
        _ => (Priority::Background, 120),
    };
    Arrival {
        at,
        vm: rng.random_range(0..sizes.vms),
        account: name("account", account),
        model: name("model", model),
        adapter,
        priority,
        work: Tokens(rng.random_range(200..1800)),
        patience: Duration::from_secs(patience),
    }
}

/// Few models are used often, most seldom.
fn zipf(rng: &mut StdRng, models: usize) -> usize {
    let total: f64 = (1..=models).map(|n| 1.0 / n as f64).sum();
    let mut draw = rng.random::<f64>() * total;
    for n in 1..models {
        draw -= 1.0 / n as f64;
        if draw <= 0.0 {
            return n - 1;
        }
    }
    models - 1
}
