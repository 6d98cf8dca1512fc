#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "A client account: its quota, what it may use, and its callers."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Account {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub adapters: ::std::vec::Vec<::basilgw::ids::AdapterId>,
    pub burst: ::basilgw::units::Tokens,
    #[doc = "Callers by name."]
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub callers: ::std::collections::BTreeMap<::basilgw::ids::CallerId, Caller>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub models: ::std::vec::Vec<::basilgw::ids::ModelId>,
    pub rate: ::basilgw::units::TokenRate,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub routes: ::std::vec::Vec<::basilgw::ids::RouteId>,
}
#[doc = "An adapter of a model."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    pub model: ::basilgw::ids::ModelId,
    pub version: ::basilgw::ids::VersionId,
    pub weights: ::basilgw::units::Bytes,
}
#[doc = "Audit trail entry of one accepted change."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AuditEntry {
    pub actor: ::basilgw::ids::Text,
    pub change: ::basilgw::ids::ChangeId,
    pub parent: ::basilgw::ids::Revision,
    pub revision: ::basilgw::ids::Revision,
    pub summary: ::std::vec::Vec<::basilgw::ids::Text>,
    #[doc = "Time of acceptance, in milliseconds since the Unix epoch."]
    pub wall: u64,
}
#[doc = "One caller of an account, with an optional quota of its own within the account's."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub burst: ::std::option::Option<::basilgw::units::Tokens>,
    #[doc = "Hashes of the keys in force, by their public names."]
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub keys: ::std::collections::BTreeMap<::basilgw::ids::KeyId, ::basilgw::declare::KeyHash>,
    pub priority: Priority,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub rate: ::std::option::Option<::basilgw::units::TokenRate>,
}
#[doc = "Reference to a chunk: a part of a declaration, stored under the hash of its content."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ChunkRef {
    pub key: ::basilgw::ids::ObjectKey,
    pub size: ::basilgw::units::Bytes,
}
#[doc = "Everything that operators declare: accounts, models, adapters and routes."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    #[doc = "Client accounts by name."]
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub accounts: ::std::collections::BTreeMap<::basilgw::ids::ClientAccount, Account>,
    #[doc = "Adapters by name."]
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub adapters: ::std::collections::BTreeMap<::basilgw::ids::AdapterId, Adapter>,
    #[doc = "Models by name."]
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub models: ::std::collections::BTreeMap<::basilgw::ids::ModelId, Model>,
    #[doc = "Plain service routes by name."]
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub routes: ::std::collections::BTreeMap<::basilgw::ids::RouteId, Route>,
}
#[doc = "`Declarations`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct Declarations(pub ::serde_json::Value);
impl ::std::ops::Deref for Declarations {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<Declarations> for ::serde_json::Value {
    fn from(value: Declarations) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for Declarations {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "The object in the store that describes the configuration in force: its revision and chunks."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Head {
    pub actor: ::basilgw::ids::Text,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub audit: ::std::vec::Vec<AuditEntry>,
    pub change: ::basilgw::ids::ChangeId,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub chunks: ::std::vec::Vec<ChunkRef>,
    #[doc = "Number of the newest audit page; 0 if there is none."]
    #[serde(default)]
    pub page: u64,
    pub parent: ::basilgw::ids::Revision,
    pub revision: ::basilgw::ids::Revision,
    #[doc = "Time of acceptance, in milliseconds since the Unix epoch."]
    pub wall: u64,
}
#[doc = "A model and the limits on its replicas."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Model {
    pub floor: ::basilgw::units::Bytes,
    #[doc = "Upper bound on replicas."]
    #[serde(default = "defaults::default_u64::<u32, 1>")]
    pub maximum: u32,
    #[doc = "Replicas that stay loaded even without demand."]
    #[serde(default)]
    pub minimum: u32,
    #[doc = "Requests that one replica serves concurrently."]
    #[serde(default = "defaults::default_u64::<u32, 16>")]
    pub slots: u32,
    pub version: ::basilgw::ids::VersionId,
    pub weights: ::basilgw::units::Bytes,
}
#[doc = "Order in which requests of one client account are served."]
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
pub enum Priority {
    #[serde(rename = "interactive")]
    Interactive,
    #[serde(rename = "review")]
    Review,
    #[serde(rename = "background")]
    Background,
}
impl ::std::fmt::Display for Priority {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Interactive => f.write_str("interactive"),
            Self::Review => f.write_str("review"),
            Self::Background => f.write_str("background"),
        }
    }
}
impl ::std::str::FromStr for Priority {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "interactive" => Ok(Self::Interactive),
            "review" => Ok(Self::Review),
            "background" => Ok(Self::Background),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Priority {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Priority {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "A plain service route."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Route {
    #[doc = "Tokens charged for each request."]
    #[serde(default = "defaults::default_u64::<u64, 1>")]
    pub cost: u64,
    #[doc = "Whether a request may be sent to the service more than once."]
    #[serde(default)]
    pub idempotent: bool,
    #[doc = "Whether requests need no key."]
    #[serde(default)]
    pub open: bool,
    pub prefix: ::basilgw::ids::Text,
    pub service: ::basilgw::ids::ServiceId,
    #[doc = "Longest wait for the complete response, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 10000>")]
    pub timeout: u64,
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
