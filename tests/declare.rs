//! Tests of declarations: validation, the split into chunks, submission with concurrent changes and
//! lost responses, the audit trail and the configuration in force.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilgw::clock::SystemClock;
use basilgw::declare::{
    ActivationError, ActiveConfig, ApplyError, Change, DeclarationFault, Key, Submitter, audit,
    chunk, validate,
};
use basilgw::ids::{ObjectKey, Revision, Version};
use basilgw::schema::declaration::{Account, Adapter, Caller, Declaration, Model, Priority};
use basilgw::store::{Object, ObjectStore, StoreError};
use basilgw::units::{Bytes as Size, TokenRate, Tokens};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use proptest::prelude::*;

/// An object store in memory with faults.
#[derive(Debug, Default)]
struct MemoryStore {
    objects: Mutex<BTreeMap<ObjectKey, Object>>,
    /// Number of coming writes of the head that take effect but whose response is lost.
    lost_responses: AtomicU32,
    /// Whether reads and writes fail as unavailable.
    unavailable: AtomicBool,
}

impl MemoryStore {
    fn check_available(&self) -> Result<(), StoreError> {
        if self.unavailable.load(Ordering::SeqCst) {
            Err(StoreError::Unavailable)
        } else {
            Ok(())
        }
    }

    fn find(&self, key: &ObjectKey) -> Result<Option<Object>, StoreError> {
        self.check_available()?;
        Ok(self.objects.lock().unwrap().get(key).cloned())
    }

    fn write(
        &self,
        key: &ObjectKey,
        expected: Version,
        value: Bytes,
    ) -> Result<Version, StoreError> {
        self.check_available()?;
        let mut objects = self.objects.lock().unwrap();
        let current = objects
            .get(key)
            .map(|object| object.version)
            .unwrap_or_default();
        if current != expected {
            return Err(StoreError::Conflict(current));
        }
        let version = current.next();
        objects.insert(key.clone(), Object { version, value });
        let left = self.lost_responses.load(Ordering::SeqCst);
        if left > 0 && key.as_str() == "config/head" {
            self.lost_responses.store(left - 1, Ordering::SeqCst);
            return Err(StoreError::Unknown);
        }
        Ok(version)
    }
}

impl ObjectStore for MemoryStore {
    fn get<'a>(&'a self, key: &'a ObjectKey) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        async move { self.find(key) }.boxed()
    }

    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: Version,
        value: Bytes,
    ) -> BoxFuture<'a, Result<Version, StoreError>> {
        async move { self.write(key, expected, value) }.boxed()
    }

    fn delete<'a>(
        &'a self,
        key: &'a ObjectKey,
        _expected: Version,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        async move {
            self.objects.lock().unwrap().remove(key);
            Ok(())
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        key: &'a ObjectKey,
        _after: Version,
        _wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        self.get(key)
    }
}

fn account(rate: f64, burst: u64) -> Account {
    Account {
        rate: TokenRate::new(rate).unwrap(),
        burst: Tokens(burst),
        models: Vec::new(),
        adapters: Vec::new(),
        routes: Vec::new(),
        callers: BTreeMap::new(),
    }
}

/// A declaration with the account `teams`, whose caller `portal` has one key, `portal-1`.
fn declaration(rate: f64) -> Declaration {
    let mut account = account(rate, 1000);
    let key = Key::mint();
    let caller = Caller {
        priority: Priority::Interactive,
        rate: None,
        burst: None,
        keys: [("portal-1".parse().unwrap(), key.hash())].into(),
    };
    account.callers.insert("portal".parse().unwrap(), caller);
    let mut declaration = Declaration::default();
    declaration
        .accounts
        .insert("teams".parse().unwrap(), account);
    declaration
}

/// A declaration with one model and many adapters, all of which the account may use.
fn large_declaration(adapters: usize) -> Declaration {
    let mut declaration = declaration(10.0);
    let model = Model {
        version: "1".parse().unwrap(),
        weights: Size(1),
        floor: Size(1),
        minimum: 0,
        maximum: 1,
        slots: 1,
    };
    declaration.models.insert("base".parse().unwrap(), model);
    for number in 0..adapters {
        let id: basilgw::ids::AdapterId = format!("adapter-{number:06}").parse().unwrap();
        let adapter = Adapter {
            model: "base".parse().unwrap(),
            version: "1".parse().unwrap(),
            weights: Size(number as u64),
        };
        declaration.adapters.insert(id.clone(), adapter);
        let account = declaration
            .accounts
            .get_mut(&"teams".parse().unwrap())
            .unwrap();
        account.adapters.push(id);
    }
    let account = declaration
        .accounts
        .get_mut(&"teams".parse().unwrap())
        .unwrap();
    account.models.push("base".parse().unwrap());
    declaration
}

fn change(id: &str, parent: Option<u64>, declaration: Declaration) -> Change {
    Change {
        id: id.parse().unwrap(),
        actor: "operator".into(),
        parent: parent.map(Revision),
        declaration,
    }
}

fn submitter(store: &Arc<MemoryStore>) -> (Submitter, Arc<ActiveConfig>) {
    let active_config = ActiveConfig::open();
    let store = Arc::clone(store) as Arc<dyn ObjectStore>;
    (
        Submitter::open(store, Arc::clone(&active_config), SystemClock::open()),
        active_config,
    )
}

#[test]
fn parts_stay_below_the_bound_and_join_to_the_whole() {
    let complete = large_declaration(41_000);
    let chunks = chunk::split(&complete).unwrap();
    assert!(chunks.len() > 1);
    assert!(
        chunks
            .iter()
            .all(|c| c.value.len() < 1_000_000 && chunk::verify(&c.reference, &c.value))
    );
    let joined = chunk::join(chunks.iter().map(|c| &c.value)).unwrap();
    assert_eq!(joined.adapters, complete.adapters);
    let id = "teams".parse().unwrap();
    let allowed: std::collections::BTreeSet<_> = joined.accounts[&id].adapters.iter().collect();
    assert_eq!(allowed.len(), 41_000);
}

#[test]
fn a_small_change_writes_one_new_part() {
    let before = chunk::split(&large_declaration(41_000)).unwrap();
    let mut changed = large_declaration(41_000);
    // Each call of `large_declaration` makes another key, so the accounts must be the same ones.
    changed.accounts = chunk::join(before.iter().map(|c| &c.value))
        .unwrap()
        .accounts;
    let id = "adapter-000007".parse().unwrap();
    changed.adapters.get_mut(&id).unwrap().version = "2".parse().unwrap();
    let after = chunk::split(&changed).unwrap();
    let new = after
        .iter()
        .filter(|c| !before.iter().any(|b| b.reference == c.reference))
        .count();
    assert_eq!(new, 1);
}

#[test]
fn validation_names_every_fault_at_once() {
    let mut invalid = declaration(10.0);
    let account = invalid.accounts.get_mut(&"teams".parse().unwrap()).unwrap();
    account.models.push("absent".parse().unwrap());
    account.routes.push("nowhere".parse().unwrap());
    account.burst = Tokens(0);
    let faults = validate(&invalid);
    let teams: basilgw::ids::ClientAccount = "teams".parse().unwrap();
    assert!(faults.contains(&DeclarationFault::ZeroBurst(teams.clone())));
    assert!(faults.contains(&DeclarationFault::NoModel(
        teams.clone(),
        "absent".parse().unwrap()
    )));
    assert!(faults.contains(&DeclarationFault::NoRoute(
        teams,
        "nowhere".parse().unwrap()
    )));
}

#[test]
fn the_board_refuses_older_and_invalid_revisions() {
    let store = Arc::new(MemoryStore::default());
    let (submitter, active_config) = submitter(&store);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime
        .block_on(submitter.submit(change("a", None, declaration(1.0))))
        .unwrap();
    runtime
        .block_on(submitter.submit(change("b", None, declaration(2.0))))
        .unwrap();
    let current = active_config.current();
    let mut older = current.head.clone().unwrap();
    older.revision = Revision(1);
    let refused = active_config.activate(older, Vec::new(), declaration(9.0));
    assert_eq!(refused, Err(ActivationError::NotNewer(Revision(2))));
    let mut newer = current.head.clone().unwrap();
    newer.revision = Revision(3);
    let mut invalid = declaration(9.0);
    invalid
        .accounts
        .get_mut(&"teams".parse().unwrap())
        .unwrap()
        .burst = Tokens(0);
    assert!(matches!(
        active_config.activate(newer, Vec::new(), invalid),
        Err(ActivationError::Invalid(_))
    ));
    assert_eq!(active_config.revision(), Revision(2));
}

#[tokio::test]
async fn the_loser_of_a_race_sees_both_sides() {
    let store = Arc::new(MemoryStore::default());
    let (first, _) = submitter(&store);
    let (second, _) = submitter(&store);
    first
        .submit(change("a", Some(0), declaration(1.0)))
        .await
        .unwrap();
    let result = second.submit(change("b", Some(0), declaration(2.0))).await;
    let Err(ApplyError::Conflict {
        ours,
        theirs,
        found,
        ..
    }) = result
    else {
        panic!("expected a conflict, got {result:?}");
    };
    assert_eq!(
        (ours.as_str(), theirs.as_str(), found),
        ("b", "a", Revision(1))
    );
}

#[tokio::test]
async fn a_lost_answer_is_settled_by_the_change_id() {
    let store = Arc::new(MemoryStore::default());
    store.lost_responses.store(1, Ordering::SeqCst);
    let (submitter, active_config) = submitter(&store);
    let accepted = submitter
        .submit(change("a", Some(0), declaration(1.0)))
        .await
        .unwrap();
    assert_eq!(
        (accepted, active_config.revision()),
        (Revision(1), Revision(1))
    );
    let again = submitter
        .submit(change("a", Some(0), declaration(1.0)))
        .await
        .unwrap();
    assert_eq!(again, Revision(1));
}

#[tokio::test]
async fn a_withdrawal_survives_a_change_that_came_between() {
    let store = Arc::new(MemoryStore::default());
    let (first, active_config) = submitter(&store);
    let (second, _) = submitter(&store);
    first
        .submit(change("a", None, declaration(1.0)))
        .await
        .unwrap();
    let hash = *active_config
        .current()
        .key_hash(&"portal-1".parse().unwrap())
        .unwrap();
    let mut other = Declaration::clone(&active_config.current().declaration);
    other
        .accounts
        .get_mut(&"teams".parse().unwrap())
        .unwrap()
        .burst = Tokens(77);
    second.submit(change("b", Some(1), other)).await.unwrap();
    let key = "portal-1".parse().unwrap();
    let revision = first
        .withdraw(&key, "c".parse().unwrap(), "operator".into())
        .await
        .unwrap();
    assert_eq!(revision, Revision(3));
    assert!(!active_config.current().has_key(&hash));
    let kept = &active_config.current().declaration.accounts[&"teams".parse().unwrap()];
    assert_eq!(kept.burst, Tokens(77));
}

#[tokio::test]
async fn the_audit_trail_has_every_change_over_pages() {
    let store = Arc::new(MemoryStore::default());
    let (submitter, _) = submitter(&store);
    for number in 0..300_u32 {
        let id = format!("change-{number}");
        submitter
            .submit(change(&id, None, declaration(f64::from(number))))
            .await
            .unwrap();
    }
    let entries = audit::read(store.as_ref(), 1000).await.unwrap();
    let revisions: Vec<_> = entries.iter().map(|entry| entry.revision.0).collect();
    assert_eq!(revisions, (1..=300).rev().collect::<Vec<_>>());
}

#[tokio::test]
async fn an_outage_refuses_a_change_and_keeps_what_is_in_force() {
    let store = Arc::new(MemoryStore::default());
    let (submitter, active_config) = submitter(&store);
    submitter
        .submit(change("a", None, declaration(1.0)))
        .await
        .unwrap();
    store.unavailable.store(true, Ordering::SeqCst);
    let refused = submitter.submit(change("b", None, declaration(2.0))).await;
    assert!(matches!(
        refused,
        Err(ApplyError::Store(StoreError::Unavailable))
    ));
    assert_eq!(active_config.revision(), Revision(1));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    #[test]
    fn any_order_of_offers_only_goes_up(order in proptest::collection::vec(1_u64..20, 1..60)) {
        let active_config = ActiveConfig::open();
        let mut highest = 0;
        for revision in order {
            let head = basilgw::schema::declaration::Head {
                revision: Revision(revision),
                parent: Revision(revision - 1),
                change: format!("change-{revision}").parse().unwrap(),
                actor: "operator".into(),
                wall: 0,
                chunks: Vec::new(),
                audit: Vec::new(),
                page: 0,
            };
            let activated = active_config.activate(head, Vec::new(), declaration(1.0)).is_ok();
            prop_assert_eq!(activated, revision > highest);
            highest = highest.max(revision);
            prop_assert_eq!(active_config.revision(), Revision(highest));
        }
    }
}
