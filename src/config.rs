//! What a running VM needs to know, turned once from its settings.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{DataCentre, VmId};
use crate::schema::settings::{
    CallerSettings, LimitSettings, LogSettingsLevel, ModelSettings, PeerSettings, PlatformSettings,
    Settings, ShutdownSettings, UpstreamSettings,
};
use crate::settings::{Expected, FaultKind, SettingsFault};

/// Configuration of one VM.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this VM, as the platform lists it.
    pub vm: VmId,
    /// Data centre of this VM.
    pub centre: DataCentre,
    /// Worker threads; 0 stands for one a core.
    pub threads: usize,
    /// Where callers connect.
    pub callers_at: SocketAddr,
    /// Where operators, health checks and metrics connect.
    pub operators_at: SocketAddr,
    /// Where other VMs connect.
    pub peers_at: SocketAddr,
    /// Where the platform answers.
    pub platform_at: SocketAddr,
    /// The platform's bounds and pauses.
    pub platform: PlatformSettings,
    /// Bounds on callers.
    pub callers: CallerSettings,
    /// Bounds on upstreams.
    pub upstreams: UpstreamSettings,
    /// Links between VMs.
    pub peers: PeerSettings,
    /// Rates and bursts.
    pub limits: LimitSettings,
    /// Loading of models.
    pub models: ModelSettings,
    /// Time to go on accepting after saying that this VM leaves.
    pub linger: Duration,
    /// Longest wait for running requests at shutdown.
    pub bound: Duration,
    /// Least severe level logged.
    pub level: Option<LogSettingsLevel>,
}

impl Config {
    /// Turns checked settings into a configuration.
    ///
    /// # Errors
    ///
    /// The addresses that cannot be parsed; [`crate::settings::parse`] has found them already.
    pub fn from_settings(settings: Settings) -> Result<Self, Vec<SettingsFault>> {
        let shutdown: ShutdownSettings = settings.shutdown.unwrap_or_default();
        Ok(Self {
            callers_at: address("listen", "callers", &settings.listen.callers)?,
            operators_at: address("listen", "operators", &settings.listen.operators)?,
            peers_at: address("listen", "peers", &settings.listen.peers)?,
            platform_at: address("platform", "address", &settings.platform.address)?,
            vm: settings.node.vm,
            centre: settings.node.centre,
            threads: settings.node.threads as usize,
            platform: settings.platform,
            callers: settings.callers.unwrap_or_default(),
            upstreams: settings.upstreams.unwrap_or_default(),
            peers: settings.peers.unwrap_or_default(),
            limits: settings.limits.unwrap_or_default(),
            models: settings.models.unwrap_or_default(),
            linger: Duration::from_millis(shutdown.linger),
            bound: Duration::from_millis(shutdown.bound),
            level: settings.log.and_then(|log| log.level),
        })
    }
}

fn address(section: &str, key: &str, text: &str) -> Result<SocketAddr, Vec<SettingsFault>> {
    let fault = || SettingsFault {
        file: "settings".into(),
        section: section.into(),
        key: key.into(),
        fault: FaultKind::Bad(Expected::Address),
    };
    text.parse().map_err(|_cause| vec![fault()])
}
