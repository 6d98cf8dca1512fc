#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Tokens that the sender admitted for an account since it started."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AccountUse {
    pub account: ::basilgw::ids::ClientAccount,
    pub tokens: ::basilgw::units::Tokens,
}
#[doc = "One datagram between VMs."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub enum Datagram {
    #[serde(rename = "usage")]
    Usage(Usage),
    #[serde(rename = "wants")]
    Wants(Wants),
    #[serde(rename = "notice")]
    Notice(Notice),
}
impl ::std::convert::From<Usage> for Datagram {
    fn from(value: Usage) -> Self {
        Self::Usage(value)
    }
}
impl ::std::convert::From<Wants> for Datagram {
    fn from(value: Wants) -> Self {
        Self::Wants(value)
    }
}
impl ::std::convert::From<Notice> for Datagram {
    fn from(value: Notice) -> Self {
        Self::Notice(value)
    }
}
#[doc = "`DatagramsBetweenVMs`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct DatagramsBetweenVMs(pub ::serde_json::Value);
impl ::std::ops::Deref for DatagramsBetweenVMs {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<DatagramsBetweenVMs> for ::serde_json::Value {
    fn from(value: DatagramsBetweenVMs) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for DatagramsBetweenVMs {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "What an engine holds, or is about to drop."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HoldWord {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::basilgw::ids::AdapterId>,
    #[doc = "Start of the engine, in milliseconds since the Unix epoch."]
    pub born: u64,
    pub engine: ::basilgw::ids::UpstreamId,
    pub model: ::basilgw::ids::ModelId,
    pub present: bool,
}
#[doc = "The sender gives orders to engines."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LeaseWord {
    pub epoch: ::basilgw::ids::Epoch,
    pub version: ::basilgw::ids::Version,
}
#[doc = "Words of the VM that gives orders."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Notice {
    pub epoch: ::basilgw::ids::Epoch,
    pub words: ::std::vec::Vec<HoldWord>,
}
#[doc = "Requests of the sender for a model that an engine works on."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Run {
    pub engine: ::basilgw::ids::UpstreamId,
    pub model: ::basilgw::ids::ModelId,
    pub requests: u32,
}
#[doc = "Requests of the sender that an upstream works on."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UpstreamUse {
    pub requests: u32,
    pub upstream: ::basilgw::ids::UpstreamId,
}
#[doc = "What the sender uses, told to every VM several times a second."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub accounts: ::std::vec::Vec<AccountUse>,
    pub generation: ::basilgw::ids::Generation,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub lease: ::std::option::Option<LeaseWord>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub upstreams: ::std::vec::Vec<UpstreamUse>,
    pub vm: ::basilgw::ids::VmId,
}
#[doc = "Demand for a model or an adapter at the sender."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Want {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::basilgw::ids::AdapterId>,
    pub model: ::basilgw::ids::ModelId,
    #[doc = "Requests a second."]
    pub rate: f64,
    #[doc = "Requests that wait for it to be loaded."]
    pub waiting: u32,
}
#[doc = "Demand at the sender, told to the VM that gives orders."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Wants {
    #[doc = "All runs; left out where only wants are told."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub runs: ::std::vec::Vec<Run>,
    pub vm: ::basilgw::ids::VmId,
    pub wants: ::std::vec::Vec<Want>,
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
