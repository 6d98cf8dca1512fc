//! Settings: every fault is named in one run.

use basilgw::settings::{Expected, FaultKind, parse};

const GOOD: &str = "[node]\nvm = vm-1\ncentre = north\n\
    [listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
    [platform]\naddress = 127.0.0.1:80\n[callers]\nbody = 2048\n[log]\nlevel = debug\n";

#[test]
fn good_settings_are_typed_with_defaults() {
    let settings = parse("vm.ini", GOOD).unwrap();
    assert_eq!(settings.node.vm.as_str(), "vm-1");
    let callers = settings.callers.unwrap();
    assert_eq!((callers.body, callers.headers), (2048, 16_384));
    assert_eq!(settings.platform.timeout, 2000);
}

#[test]
fn every_fault_is_named_in_one_run() {
    let text = "[node]\nvm = bad name\n[listen]\ncallers = nowhere\noperators = 127.0.0.1:0\n\
        [platform]\naddress = 127.0.0.1:80\ntimeout = soon\nspeed = 3\n[moon]\nphase = 1\n\
        [log]\nlevel = loud\n";
    let faults = parse("vm.ini", text).unwrap_err();
    let has = |section: &str, key: &str, fault: &FaultKind| {
        let fits = |f: &&basilgw::settings::SettingsFault| {
            f.file == "vm.ini" && f.section == section && f.key == key && f.fault == *fault
        };
        faults.iter().any(|f| fits(&f))
    };
    assert!(has("node", "vm", &FaultKind::Bad(Expected::Identifier)));
    assert!(has(
        "node",
        "centre",
        &FaultKind::Missing(Expected::Identifier)
    ));
    assert!(has("listen", "callers", &FaultKind::Bad(Expected::Address)));
    assert!(has(
        "listen",
        "peers",
        &FaultKind::Missing(Expected::Address)
    ));
    assert!(has(
        "platform",
        "timeout",
        &FaultKind::Bad(Expected::Number)
    ));
    assert!(has("platform", "speed", &FaultKind::UnknownKey));
    assert!(has("moon", "", &FaultKind::UnknownSection));
    assert_eq!(faults.iter().filter(|f| f.section == "log").count(), 1);
}

#[test]
fn documented_keys_are_those_of_the_schema() {
    let page = include_str!("../docs/SETTINGS.md");
    let schema: serde_json::Value =
        serde_json::from_str(include_str!("../schema/settings.json")).unwrap();
    for (name, definition) in schema["definitions"].as_object().unwrap() {
        let Some(properties) = definition["properties"].as_object() else {
            continue;
        };
        for key in properties.keys() {
            let known = page.contains(&format!("`{key}`")) || page.contains(&format!("[{key}]"));
            assert!(known, "{name}.{key} is not documented");
        }
    }
}
