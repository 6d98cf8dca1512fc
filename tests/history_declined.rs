//! An engine that declines one request still serves the next.

mod testenv;

use std::time::Duration;

use standin::caller::Ask;
use standin::env::Environment;
use standin::fault::{Fault, Planned};
use standin::history::Outcome;

const MOST_TRIES: u32 = 10_000;
const DEADLINE: Duration = Duration::from_secs(5);

fn chat(env: &Environment, name: &str) -> Ask {
    let model = "draft".parse().unwrap();
    let request = name.parse().unwrap();
    let mut ask = Ask::chat(request, &env.site.federation, &model, None, 4, false);
    ask.deadline = DEADLINE;
    ask
}

fn is_whole(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Whole { status: 200, .. })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_declined_request_does_not_take_an_engine_out() {
    let env = Environment::open(testenv::program(), 1).await.unwrap();
    let target = env.target(0);
    // A VM that has no load report yet may refuse the first requests.
    for number in 0.. {
        assert!(number < MOST_TRIES, "the model never loads");
        let ask = chat(&env, &format!("warm-{number}"));
        if is_whole(&env.caller.send(&target, &ask).await.outcome) {
            break;
        }
    }

    let planned = Planned {
        fault: Fault::NotRun,
        times: 1,
    };
    for engine in &env.engines {
        engine.set_faults(vec![planned]);
    }
    env.caller.send(&target, &chat(&env, "declined")).await;
    env.engines.iter().for_each(|e| e.set_faults(Vec::new()));

    let next = env.caller.send(&target, &chat(&env, "next")).await;
    assert!(is_whole(&next.outcome), "{next:?}");
}
