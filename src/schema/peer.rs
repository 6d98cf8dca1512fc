#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Requests a configuration of at least this revision."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ConfigFetch {
    pub revision: ::basilgw::ids::Revision,
}
#[doc = "One part of a configuration, in response to a request."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ConfigPart {
    pub bytes: ::basilgw::peer::Blob,
    #[doc = "Index of this part, from zero."]
    pub part: u32,
    #[doc = "Number of parts of the configuration."]
    pub parts: u32,
    pub revision: ::basilgw::ids::Revision,
}
#[doc = "Soft state of a VM, with its age, which it sends to a few other VMs."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    pub generation: ::basilgw::ids::Generation,
    #[doc = "Milliseconds since the sender last received a response from the store."]
    pub heard: u64,
    #[doc = "Whether the sender is shutting down."]
    #[serde(default)]
    pub leaving: bool,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub members: ::std::vec::Vec<MemberDigest>,
    pub revision: ::basilgw::ids::Revision,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub upstreams: ::std::vec::Vec<UpstreamDigest>,
    pub vm: ::basilgw::ids::VmId,
}
#[doc = "One frame on a link."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub enum Frame {
    #[serde(rename = "hello")]
    Hello(Hello),
    #[serde(rename = "digest")]
    Digest(Digest),
    #[serde(rename = "fetch")]
    Fetch(ConfigFetch),
    #[serde(rename = "config")]
    Config(ConfigPart),
    #[serde(rename = "ask")]
    Ask(LeaseRequest),
    #[serde(rename = "grant")]
    Grant(LeaseResponse),
    #[serde(rename = "wake")]
    Wake(WakeRequest),
    #[serde(rename = "woken")]
    Woken(WakeResponse),
}
impl ::std::convert::From<Hello> for Frame {
    fn from(value: Hello) -> Self {
        Self::Hello(value)
    }
}
impl ::std::convert::From<Digest> for Frame {
    fn from(value: Digest) -> Self {
        Self::Digest(value)
    }
}
impl ::std::convert::From<ConfigFetch> for Frame {
    fn from(value: ConfigFetch) -> Self {
        Self::Fetch(value)
    }
}
impl ::std::convert::From<ConfigPart> for Frame {
    fn from(value: ConfigPart) -> Self {
        Self::Config(value)
    }
}
impl ::std::convert::From<LeaseRequest> for Frame {
    fn from(value: LeaseRequest) -> Self {
        Self::Ask(value)
    }
}
impl ::std::convert::From<LeaseResponse> for Frame {
    fn from(value: LeaseResponse) -> Self {
        Self::Grant(value)
    }
}
impl ::std::convert::From<WakeRequest> for Frame {
    fn from(value: WakeRequest) -> Self {
        Self::Wake(value)
    }
}
impl ::std::convert::From<WakeResponse> for Frame {
    fn from(value: WakeResponse) -> Self {
        Self::Woken(value)
    }
}
#[doc = "First frame that each side sends on a link."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    pub centre: ::basilgw::ids::DataCentre,
    pub generation: ::basilgw::ids::Generation,
    #[doc = "Version of the peer protocol."]
    pub protocol: u32,
    pub revision: ::basilgw::ids::Revision,
    pub vm: ::basilgw::ids::VmId,
}
#[doc = "Why no tokens were granted."]
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
pub enum LeaseRefusal {
    #[serde(rename = "empty")]
    Empty,
    #[serde(rename = "moved")]
    Moved,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for LeaseRefusal {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Empty => f.write_str("empty"),
            Self::Moved => f.write_str("moved"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for LeaseRefusal {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "empty" => Ok(Self::Empty),
            "moved" => Ok(Self::Moved),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for LeaseRefusal {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for LeaseRefusal {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Requests a lease of tokens from the VM that holds a part of a quota."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LeaseRequest {
    pub account: ::basilgw::ids::ClientAccount,
    pub epoch: ::basilgw::ids::Epoch,
    #[doc = "Index of the part in the quota."]
    pub part: u32,
    #[doc = "Unused tokens that the sender gives back."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub returned: ::std::option::Option<::basilgw::units::Tokens>,
    #[doc = "Number of the request at its sender; a retransmission carries the same."]
    pub sequence: u64,
    pub tokens: ::basilgw::units::Tokens,
}
#[doc = "Response to a lease request."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LeaseResponse {
    pub account: ::basilgw::ids::ClientAccount,
    pub epoch: ::basilgw::ids::Epoch,
    #[doc = "Milliseconds for which the tokens may be spent, counted from when the request was sent."]
    #[serde(default)]
    pub life: u64,
    #[doc = "Index of the part in the quota."]
    pub part: u32,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub refusal: ::std::option::Option<LeaseRefusal>,
    #[doc = "Number of the request that this responds to."]
    pub sequence: u64,
    pub tokens: ::basilgw::units::Tokens,
    #[doc = "Milliseconds until more tokens are expected."]
    pub wait: u64,
}
#[doc = "State of another VM as the sender knows it."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MemberDigest {
    #[doc = "Milliseconds since the sender last received a frame from the VM; more than the silence timeout if the sender cannot reach it."]
    pub age: u64,
    pub generation: ::basilgw::ids::Generation,
    #[doc = "Whether the VM is shutting down."]
    #[serde(default)]
    pub leaving: bool,
    pub vm: ::basilgw::ids::VmId,
}
#[doc = "`MessagesBetweenVMs`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct MessagesBetweenVMs(pub ::serde_json::Value);
impl ::std::ops::Deref for MessagesBetweenVMs {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<MessagesBetweenVMs> for ::serde_json::Value {
    fn from(value: MessagesBetweenVMs) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for MessagesBetweenVMs {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "State of an upstream as the sender knows it."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UpstreamDigest {
    pub generation: ::basilgw::ids::Generation,
    #[doc = "Requests in flight from the sender to the upstream."]
    #[serde(default)]
    pub inflight: u32,
    #[doc = "Whether the upstream takes no new requests."]
    #[serde(default)]
    pub leaving: bool,
    pub upstream: ::basilgw::ids::UpstreamId,
}
#[doc = "Requests a replica from the VM that is the model's leader."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WakeRequest {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub account: ::std::option::Option<::basilgw::ids::ClientAccount>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::basilgw::ids::AdapterId>,
    #[doc = "Milliseconds until the waiting request's deadline."]
    pub deadline: u64,
    pub model: ::basilgw::ids::ModelId,
    pub request: ::basilgw::ids::RequestId,
    #[doc = "Tokens of the requests that wait for the replica."]
    pub work: ::basilgw::units::Tokens,
}
#[doc = "Response to a request for a replica."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WakeResponse {
    #[doc = "Whether a replica will be ready before the deadline."]
    #[serde(default)]
    pub accepted: bool,
    pub request: ::basilgw::ids::RequestId,
    #[doc = "Milliseconds until the replica is expected, or, if not accepted, until a retry makes sense."]
    #[serde(default)]
    pub wait: u64,
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
