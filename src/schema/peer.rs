#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Asks for a configuration at least as new."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ConfigFetch {
    pub revision: ::basilgw::ids::Revision,
}
#[doc = "A part of a configuration handed on."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ConfigPart {
    pub bytes: ::basilgw::peer::Blob,
    #[doc = "Index of this part."]
    pub part: u32,
    #[doc = "Count of parts."]
    pub parts: u32,
    pub revision: ::basilgw::ids::Revision,
}
#[doc = "Soft state a VM tells a few others, with its age."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    pub generation: ::basilgw::ids::Generation,
    #[doc = "Milliseconds since the sender last heard the store."]
    pub heard: u64,
    #[doc = "Whether the sender shuts down."]
    #[serde(default)]
    pub leaving: bool,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub members: ::std::vec::Vec<MemberDigest>,
    pub revision: ::basilgw::ids::Revision,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub upstreams: ::std::vec::Vec<UpstreamDigest>,
    pub vm: ::basilgw::ids::VmId,
}
#[doc = "One message on a link."]
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
    Ask(LeaseAsk),
    #[serde(rename = "grant")]
    Grant(LeaseAnswer),
    #[serde(rename = "wake")]
    Wake(WakeAsk),
    #[serde(rename = "woken")]
    Woken(WakeAnswer),
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
impl ::std::convert::From<LeaseAsk> for Frame {
    fn from(value: LeaseAsk) -> Self {
        Self::Ask(value)
    }
}
impl ::std::convert::From<LeaseAnswer> for Frame {
    fn from(value: LeaseAnswer) -> Self {
        Self::Grant(value)
    }
}
impl ::std::convert::From<WakeAsk> for Frame {
    fn from(value: WakeAsk) -> Self {
        Self::Wake(value)
    }
}
impl ::std::convert::From<WakeAnswer> for Frame {
    fn from(value: WakeAnswer) -> Self {
        Self::Woken(value)
    }
}
#[doc = "First message of a link."]
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
#[doc = "Answers an ask."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LeaseAnswer {
    pub account: ::basilgw::ids::ClientAccount,
    pub epoch: ::basilgw::ids::Epoch,
    #[doc = "Milliseconds the tokens may be spent, from the ask."]
    #[serde(default)]
    pub life: u64,
    #[doc = "Index of the part."]
    pub part: u32,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub refusal: ::std::option::Option<LeaseRefusal>,
    #[doc = "Number of the ask answered."]
    pub sequence: u64,
    pub tokens: ::basilgw::units::Tokens,
    #[doc = "Milliseconds until more tokens are expected."]
    pub wait: u64,
}
#[doc = "Asks a holder for tokens of an account's part."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LeaseAsk {
    pub account: ::basilgw::ids::ClientAccount,
    pub epoch: ::basilgw::ids::Epoch,
    #[doc = "Index of the part."]
    pub part: u32,
    #[doc = "Unused tokens given back."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub returned: ::std::option::Option<::basilgw::units::Tokens>,
    #[doc = "Number of the ask at its sender; a repeat carries the same."]
    pub sequence: u64,
    pub tokens: ::basilgw::units::Tokens,
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
#[doc = "What a VM knows of another."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MemberDigest {
    #[doc = "Milliseconds since it was heard, at the sender."]
    pub age: u64,
    pub generation: ::basilgw::ids::Generation,
    #[doc = "Whether it shuts down."]
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
#[doc = "What a VM knows of an upstream."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UpstreamDigest {
    pub generation: ::basilgw::ids::Generation,
    #[doc = "Requests in flight from the sender."]
    #[serde(default)]
    pub inflight: u32,
    #[doc = "Whether it takes no new work."]
    #[serde(default)]
    pub leaving: bool,
    pub upstream: ::basilgw::ids::UpstreamId,
}
#[doc = "Answers an ask for a replica."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WakeAnswer {
    #[doc = "Whether a replica will be there in time."]
    #[serde(default)]
    pub accepted: bool,
    pub request: ::basilgw::ids::RequestId,
    #[doc = "Milliseconds until it is expected, or until asking again pays."]
    #[serde(default)]
    pub wait: u64,
}
#[doc = "Asks a model's owner for a replica."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WakeAsk {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub account: ::std::option::Option<::basilgw::ids::ClientAccount>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::basilgw::ids::AdapterId>,
    #[doc = "Milliseconds left."]
    pub deadline: u64,
    pub model: ::basilgw::ids::ModelId,
    pub request: ::basilgw::ids::RequestId,
    #[doc = "Tokens waiting."]
    pub work: ::basilgw::units::Tokens,
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
