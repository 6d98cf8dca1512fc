#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Bounds on callers."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    #[doc = "Largest request body, in bytes."]
    #[serde(default = "defaults::default_u64::<u64, 1048576>")]
    pub body: u64,
    #[doc = "Deadline where the caller names none, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 30000>")]
    pub deadline: u64,
    #[doc = "Largest request head, in bytes."]
    #[serde(default = "defaults::default_u64::<u64, 16384>")]
    pub headers: u64,
    #[doc = "Longest deadline a caller may name, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 600000>")]
    pub longest: u64,
    #[doc = "Output tokens assumed where the caller names none."]
    #[serde(default = "defaults::default_u64::<u64, 256>")]
    pub output: u64,
    #[doc = "Longest wait for a whole request, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 10000>")]
    pub slow: u64,
    #[doc = "Most requests waiting at once."]
    #[serde(default = "defaults::default_u64::<u64, 4096>")]
    pub waiting: u64,
}
impl ::std::default::Default for CallerSettings {
    fn default() -> Self {
        Self {
            body: defaults::default_u64::<u64, 1048576>(),
            deadline: defaults::default_u64::<u64, 30000>(),
            headers: defaults::default_u64::<u64, 16384>(),
            longest: defaults::default_u64::<u64, 600000>(),
            output: defaults::default_u64::<u64, 256>(),
            slow: defaults::default_u64::<u64, 10000>(),
            waiting: defaults::default_u64::<u64, 4096>(),
        }
    }
}
#[doc = "Rate limits of client accounts and their callers."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LimitSettings {
    #[doc = "Time for which one lease of tokens should meet the demand, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 500>")]
    pub batch: u64,
    #[doc = "Most parts that an account's quota is split into."]
    #[serde(default = "defaults::default_u64::<u32, 5>")]
    pub holders: u32,
    #[doc = "Time after which a lease of tokens expires, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub life: u64,
}
impl ::std::default::Default for LimitSettings {
    fn default() -> Self {
        Self {
            batch: defaults::default_u64::<u64, 500>(),
            holders: defaults::default_u64::<u32, 5>(),
            life: defaults::default_u64::<u64, 2000>(),
        }
    }
}
#[doc = "Where this VM listens, by IP number and port."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    pub callers: ::basilgw::ids::Text,
    pub operators: ::basilgw::ids::Text,
    pub peers: ::basilgw::ids::Text,
}
#[doc = "Logs."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    #[doc = "Least severe level written."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub level: ::std::option::Option<LogSettingsLevel>,
}
#[doc = "Least severe level written."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum LogSettingsLevel {
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "warning")]
    Warning,
    #[serde(rename = "info")]
    Info,
    #[serde(rename = "debug")]
    Debug,
}
impl ::std::fmt::Display for LogSettingsLevel {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Error => f.write_str("error"),
            Self::Warning => f.write_str("warning"),
            Self::Info => f.write_str("info"),
            Self::Debug => f.write_str("debug"),
        }
    }
}
impl ::std::str::FromStr for LogSettingsLevel {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "error" => Ok(Self::Error),
            "warning" => Ok(Self::Warning),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for LogSettingsLevel {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for LogSettingsLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Loading of models."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ModelSettings {
    #[doc = "Adapter loads at full speed."]
    #[serde(default = "defaults::default_u64::<u32, 32>")]
    pub adapters: u32,
    #[doc = "Bytes a second one load is read at."]
    #[serde(default = "defaults::default_u64::<u64, 1000000000>")]
    pub bandwidth: u64,
    #[doc = "Idle time after which a replica may be unloaded, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 120000>")]
    pub idle: u64,
    #[doc = "Longest life of an order, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 30000>")]
    pub order: u64,
    #[doc = "Loads the weight store carries at full speed."]
    #[serde(default = "defaults::default_u64::<u32, 4>")]
    pub slots: u32,
    #[doc = "Loads the weight store starts a second."]
    #[serde(default = "defaults::default_u64::<u32, 2>")]
    pub starts: u32,
}
impl ::std::default::Default for ModelSettings {
    fn default() -> Self {
        Self {
            adapters: defaults::default_u64::<u32, 32>(),
            bandwidth: defaults::default_u64::<u64, 1000000000>(),
            idle: defaults::default_u64::<u64, 120000>(),
            order: defaults::default_u64::<u64, 30000>(),
            slots: defaults::default_u64::<u32, 4>(),
            starts: defaults::default_u64::<u32, 2>(),
        }
    }
}
#[doc = "Who this VM is."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    pub centre: ::basilgw::ids::DataCentre,
    #[doc = "Worker threads; 0 stands for one a core."]
    #[serde(default)]
    pub threads: u32,
    pub vm: ::basilgw::ids::VmId,
}
#[doc = "Links between VMs."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    #[doc = "Time without store and peers after which keys are refused, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 10000>")]
    pub alone: u64,
    #[doc = "Pause between two digests, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 1000>")]
    pub digest: u64,
    #[doc = "Peers told in each round."]
    #[serde(default = "defaults::default_u64::<u32, 3>")]
    pub fanout: u32,
    #[doc = "Largest frame, in bytes."]
    #[serde(default = "defaults::default_u64::<u64, 1200000>")]
    pub frame: u64,
    #[doc = "Pause between two pings of a link, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 1000>")]
    pub ping: u64,
    #[doc = "Silence after which a link is replaced, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 4000>")]
    pub silence: u64,
}
impl ::std::default::Default for PeerSettings {
    fn default() -> Self {
        Self {
            alone: defaults::default_u64::<u64, 10000>(),
            digest: defaults::default_u64::<u64, 1000>(),
            fanout: defaults::default_u64::<u32, 3>(),
            frame: defaults::default_u64::<u64, 1200000>(),
            ping: defaults::default_u64::<u64, 1000>(),
            silence: defaults::default_u64::<u64, 4000>(),
        }
    }
}
#[doc = "The platform's service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    pub address: ::basilgw::ids::Text,
    #[doc = "Longest pause between two tries in an outage, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 10000>")]
    pub backoff: u64,
    #[doc = "Greatest lag of the VM list, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 5000>")]
    pub lag: u64,
    #[doc = "Pause between two readings of the VM list, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 1000>")]
    pub list: u64,
    #[doc = "Longest wait for one call, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub timeout: u64,
    #[doc = "Longest wait of one watch, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 20000>")]
    pub watch: u64,
}
#[doc = "Settings of one VM."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    #[doc = "Bounds on callers."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub callers: ::std::option::Option<CallerSettings>,
    #[doc = "Rate limits of client accounts and their callers."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub limits: ::std::option::Option<LimitSettings>,
    pub listen: ListenSettings,
    #[doc = "Logs."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub log: ::std::option::Option<LogSettings>,
    #[doc = "Loading of models."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub models: ::std::option::Option<ModelSettings>,
    pub node: NodeSettings,
    #[doc = "Links between VMs."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub peers: ::std::option::Option<PeerSettings>,
    pub platform: PlatformSettings,
    #[doc = "Graceful shutdown."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub shutdown: ::std::option::Option<ShutdownSettings>,
    #[doc = "Bounds on upstreams."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub upstreams: ::std::option::Option<UpstreamSettings>,
}
#[doc = "`SettingsOfOneVm`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct SettingsOfOneVm(pub ::serde_json::Value);
impl ::std::ops::Deref for SettingsOfOneVm {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<SettingsOfOneVm> for ::serde_json::Value {
    fn from(value: SettingsOfOneVm) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for SettingsOfOneVm {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "Graceful shutdown."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ShutdownSettings {
    #[doc = "Longest wait for running requests, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 600000>")]
    pub bound: u64,
    #[doc = "Time to go on accepting after saying that this VM leaves, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 3000>")]
    pub linger: u64,
}
impl ::std::default::Default for ShutdownSettings {
    fn default() -> Self {
        Self {
            bound: defaults::default_u64::<u64, 600000>(),
            linger: defaults::default_u64::<u64, 3000>(),
        }
    }
}
#[doc = "Bounds on upstreams."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    #[doc = "Retries allowed for 100 successes."]
    #[serde(default = "defaults::default_u64::<u32, 10>")]
    pub budget: u32,
    #[doc = "Longest wait for a connection, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 1000>")]
    pub connect: u64,
    #[doc = "Longest life of an unused connection, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 10000>")]
    pub idle: u64,
    #[doc = "Pause between two readings of a load report, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 1000>")]
    pub report: u64,
    #[doc = "Most tries of an idempotent request."]
    #[serde(default = "defaults::default_u64::<u32, 3>")]
    pub retries: u32,
    #[doc = "Longest pause within an answer, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 10000>")]
    pub silence: u64,
}
impl ::std::default::Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            budget: defaults::default_u64::<u32, 10>(),
            connect: defaults::default_u64::<u64, 1000>(),
            idle: defaults::default_u64::<u64, 10000>(),
            report: defaults::default_u64::<u64, 1000>(),
            retries: defaults::default_u64::<u32, 3>(),
            silence: defaults::default_u64::<u64, 10000>(),
        }
    }
}
#[doc = " Generation of default values for serde."]
pub mod defaults {
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
