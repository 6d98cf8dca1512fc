//! What operators declare in an environment.

use std::collections::BTreeMap;

use basilgw::declare::Key;
use basilgw::ids::{ModelId, VersionId};
use basilgw::schema::declaration::{Account, Adapter, Caller, Declaration, Model, Priority, Route};
use basilgw::units::{Bytes, TokenRate, Tokens};

use crate::caller::Credential;
use crate::history::Event;
use crate::record::Recorder;

const RATE: f64 = 5000.0;
const BURST: Tokens = Tokens(10_000);
const CROWD_RATE: f64 = 300.0;
const CROWD_BURST: Tokens = Tokens(3000);
const WEIGHTS: Bytes = Bytes(6 << 30);
const FLOOR: Bytes = Bytes(1 << 30);
const ADAPTER: Bytes = Bytes(64 << 20);

/// Models that are mostly idle; with the others they are more than the engines hold.
pub const RARE_MODELS: [&str; 3] = ["review", "rare-1", "rare-2"];

/// Three accounts with keys, some models, an adapter and three routes.
#[derive(Clone, Debug)]
pub struct Site {
    /// A key of account `club`.
    pub club: Credential,
    /// Another key of account `club`, to be withdrawn.
    pub spare: Credential,
    /// A key of account `federation`, which alone reaches model `private`.
    pub federation: Credential,
    /// A key of account `crowd`, whose share is small.
    pub crowd: Credential,
    keys: BTreeMap<&'static str, Key>,
    declaration: Declaration,
}

/// Parses a constant name.
///
/// # Panics
///
/// Where the constant is not an identifier, which the first run shows.
fn id<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a constant identifier")
}

fn credential(key: &str, account: &str, secret: &Key) -> Credential {
    Credential {
        key: id(key),
        account: id(account),
        secret: secret.reveal().into(),
    }
}

fn model(maximum: u32) -> Model {
    Model {
        floor: FLOOR,
        maximum,
        minimum: 0,
        slots: 8,
        version: id::<VersionId>("1"),
        weights: WEIGHTS,
    }
}

fn route(prefix: &str, idempotent: bool, open: bool) -> Route {
    Route {
        cost: 1,
        idempotent,
        open,
        prefix: prefix.into(),
        service: id("booking"),
        timeout: 2000,
    }
}

fn account(models: &[&str], keys: &[(&str, &Key)]) -> Account {
    let keys = keys.iter().map(|(name, key)| (id(name), key.hash()));
    let caller = Caller {
        burst: None,
        rate: None,
        keys: keys.collect(),
        priority: Priority::Interactive,
    };
    Account {
        adapters: vec![id("team-a")],
        burst: BURST,
        callers: [(id("portal"), caller)].into(),
        models: models.iter().map(|name| id(name)).collect(),
        rate: TokenRate::new(RATE).unwrap_or_default(),
        routes: vec![id("bookings"), id("slots")],
    }
}

impl Default for Site {
    fn default() -> Self {
        Self::new()
    }
}

impl Site {
    /// The site, with new keys.
    pub fn new() -> Self {
        let (club, spare) = (Key::mint(), Key::mint());
        let (federation, crowd) = (Key::mint(), Key::mint());
        let small = Account {
            rate: TokenRate::new(CROWD_RATE).unwrap_or_default(),
            burst: CROWD_BURST,
            ..account(&["draft"], &[("crowd-1", &crowd)])
        };
        let accounts = [
            (id("crowd"), small),
            (
                id("club"),
                account(
                    &["draft", "review"],
                    &[("club-1", &club), ("club-2", &spare)],
                ),
            ),
            (
                id("federation"),
                account(
                    &["draft", "private", "review", "rare-1", "rare-2"],
                    &[("federation-1", &federation)],
                ),
            ),
        ];
        let adapter = Adapter {
            model: id("draft"),
            version: id("1"),
            weights: ADAPTER,
        };
        let mut models: BTreeMap<ModelId, Model> =
            [(id("draft"), model(2)), (id("private"), model(1))].into();
        models.extend(RARE_MODELS.map(|name| (id(name), model(1))));
        let declaration = Declaration {
            accounts: accounts.into(),
            adapters: [(id("team-a"), adapter)].into(),
            models,
            routes: [
                (id("bookings"), route("/bookings", false, false)),
                (id("slots"), route("/slots", true, false)),
                (id("open"), route("/open", true, true)),
            ]
            .into(),
        };
        Self {
            club: credential("club-1", "club", &club),
            spare: credential("club-2", "club", &spare),
            federation: credential("federation-1", "federation", &federation),
            crowd: credential("crowd-1", "crowd", &crowd),
            keys: [
                ("club-1", club),
                ("club-2", spare),
                ("federation-1", federation),
                ("crowd-1", crowd),
            ]
            .into(),
            declaration,
        }
    }

    /// What operators declare, with one more model where `extra` names one.
    pub fn declaration(&self, extra: Option<&str>) -> Declaration {
        let mut declaration = self.declaration.clone();
        if let Some(name) = extra.and_then(|name| name.parse::<ModelId>().ok()) {
            declaration.models.insert(name, model(1));
        }
        declaration
    }

    /// Records shares and keys for the checker.
    pub(super) fn record(&self, driver: &Recorder) {
        for (name, account) in &self.declaration.accounts {
            driver.record(Event::Declared {
                account: name.clone(),
                rate: account.rate.per_second(),
                burst: account.burst,
            });
            for (caller, granted) in &account.callers {
                for key in granted.keys.keys() {
                    let Some(secret) = self.keys.get(key.as_str()) else {
                        continue;
                    };
                    driver.record(Event::Granted {
                        key: key.clone(),
                        account: name.clone(),
                        caller: caller.clone(),
                        secret: secret.reveal().into(),
                    });
                }
            }
        }
    }
}
