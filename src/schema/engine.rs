#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "A prefix stored in or dropped from an engine's cache."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    #[doc = "Hash of the prefix."]
    pub prefix: u64,
    pub replica: ::basilgw::ids::ReplicaId,
    #[doc = "Position in the engine's event stream; gaps mean lost events."]
    pub sequence: u64,
    #[doc = "Whether the prefix was stored, or dropped."]
    pub stored: bool,
}
#[doc = "Events since a position."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CacheEvents {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub events: ::std::vec::Vec<CacheEvent>,
    #[doc = "Position to ask from next."]
    pub next: u64,
}
#[doc = "A checkpoint an engine holds."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    pub model: ::basilgw::ids::ModelId,
    pub source: Source,
    pub version: ::basilgw::ids::VersionId,
}
#[doc = "An engine's report, which lags."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    #[doc = "Age of the report, in milliseconds."]
    pub age: u64,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub checkpoints: ::std::vec::Vec<Checkpoint>,
    pub generation: ::basilgw::ids::Generation,
    #[doc = "Whether the engine takes no new work."]
    #[serde(default)]
    pub leaving: bool,
    pub memory: ::basilgw::units::Bytes,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub replicas: ::std::vec::Vec<ReplicaReport>,
    pub used: ::basilgw::units::Bytes,
}
#[doc = "An order to an engine."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Order {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::basilgw::ids::AdapterId>,
    pub bytes: ::basilgw::units::Bytes,
    pub fence: ::basilgw::ids::Epoch,
    pub kind: OrderKind,
    pub model: ::basilgw::ids::ModelId,
    pub replica: ::basilgw::ids::ReplicaId,
    pub version: ::basilgw::ids::VersionId,
}
#[doc = "Answer to an order."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OrderAnswer {
    pub status: OrderStatus,
}
#[doc = "What an engine is told to do."]
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
pub enum OrderKind {
    #[serde(rename = "load")]
    Load,
    #[serde(rename = "unload")]
    Unload,
    #[serde(rename = "attach")]
    Attach,
    #[serde(rename = "detach")]
    Detach,
}
impl ::std::fmt::Display for OrderKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Load => f.write_str("load"),
            Self::Unload => f.write_str("unload"),
            Self::Attach => f.write_str("attach"),
            Self::Detach => f.write_str("detach"),
        }
    }
}
impl ::std::str::FromStr for OrderKind {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "load" => Ok(Self::Load),
            "unload" => Ok(Self::Unload),
            "attach" => Ok(Self::Attach),
            "detach" => Ok(Self::Detach),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for OrderKind {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for OrderKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "What became of an order."]
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
pub enum OrderStatus {
    #[serde(rename = "accepted")]
    Accepted,
    #[serde(rename = "stale")]
    Stale,
    #[serde(rename = "full")]
    Full,
    #[serde(rename = "busy")]
    Busy,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for OrderStatus {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Accepted => f.write_str("accepted"),
            Self::Stale => f.write_str("stale"),
            Self::Full => f.write_str("full"),
            Self::Busy => f.write_str("busy"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for OrderStatus {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "accepted" => Ok(Self::Accepted),
            "stale" => Ok(Self::Stale),
            "full" => Ok(Self::Full),
            "busy" => Ok(Self::Busy),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for OrderStatus {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for OrderStatus {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "`OrdersToAndReportsFromModelEngines`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct OrdersToAndReportsFromModelEngines(pub ::serde_json::Value);
impl ::std::ops::Deref for OrdersToAndReportsFromModelEngines {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<OrdersToAndReportsFromModelEngines> for ::serde_json::Value {
    fn from(value: OrdersToAndReportsFromModelEngines) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for OrdersToAndReportsFromModelEngines {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "One replica on an engine."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ReplicaReport {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub adapters: ::std::vec::Vec<::basilgw::ids::AdapterId>,
    pub bytes: ::basilgw::units::Bytes,
    pub model: ::basilgw::ids::ModelId,
    #[doc = "Requests waiting."]
    #[serde(default)]
    pub queued: u32,
    pub replica: ::basilgw::ids::ReplicaId,
    #[doc = "Requests being served."]
    #[serde(default)]
    pub running: u32,
    pub state: ReplicaState,
    pub version: ::basilgw::ids::VersionId,
}
#[doc = "Progress of a replica on an engine."]
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
pub enum ReplicaState {
    #[serde(rename = "loading")]
    Loading,
    #[serde(rename = "ready")]
    Ready,
    #[serde(rename = "unloading")]
    Unloading,
}
impl ::std::fmt::Display for ReplicaState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Loading => f.write_str("loading"),
            Self::Ready => f.write_str("ready"),
            Self::Unloading => f.write_str("unloading"),
        }
    }
}
impl ::std::str::FromStr for ReplicaState {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "loading" => Ok(Self::Loading),
            "ready" => Ok(Self::Ready),
            "unloading" => Ok(Self::Unloading),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ReplicaState {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ReplicaState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Where an engine has a checkpoint."]
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
pub enum Source {
    #[serde(rename = "memory")]
    Memory,
    #[serde(rename = "disk")]
    Disk,
}
impl ::std::fmt::Display for Source {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Memory => f.write_str("memory"),
            Self::Disk => f.write_str("disk"),
        }
    }
}
impl ::std::str::FromStr for Source {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "memory" => Ok(Self::Memory),
            "disk" => Ok(Self::Disk),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Source {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Source {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
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
