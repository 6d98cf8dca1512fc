#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

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
#[doc = "Demand for a model and its adapters at the sender."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ModelWants {
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub adapters: ::std::collections::BTreeMap<::basilgw::ids::AdapterId, Want>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub whole: ::std::option::Option<Want>,
}
#[doc = "Words of the VM that gives orders."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Notice {
    pub epoch: ::basilgw::ids::Epoch,
    pub words: ::std::vec::Vec<HoldWord>,
}
#[doc = "What the sender uses, told to every VM several times a second."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    #[doc = "Tokens that the sender admitted since it started."]
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub accounts:
        ::std::collections::BTreeMap<::basilgw::ids::ClientAccount, ::basilgw::units::Tokens>,
    pub generation: ::basilgw::ids::Generation,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub lease: ::std::option::Option<LeaseWord>,
    #[doc = "Requests of the sender that upstreams work on."]
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub upstreams: ::std::collections::BTreeMap<::basilgw::ids::UpstreamId, u32>,
    pub vm: ::basilgw::ids::VmId,
}
#[doc = "Demand for a model, or for one of its adapters, at the sender."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Want {
    #[doc = "Requests a second."]
    pub rate: f64,
    #[doc = "Requests that wait for it to be loaded."]
    #[serde(default)]
    pub waiting: u32,
}
#[doc = "Demand at the sender, told to the VM that gives orders."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Wants {
    #[doc = "Requests of the sender that engines work on, by model; left out where only wants are told."]
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub runs: ::std::collections::BTreeMap<
        ::basilgw::ids::UpstreamId,
        ::std::collections::BTreeMap<::basilgw::ids::ModelId, u32>,
    >,
    pub vm: ::basilgw::ids::VmId,
    pub wants: ::std::collections::BTreeMap<::basilgw::ids::ModelId, ModelWants>,
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
