#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Error that a caller receives."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ErrorBody {
    pub code: ErrorCode,
    pub message: ::basilgw::ids::Text,
    pub ran: Ran,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub request: ::std::option::Option<::basilgw::ids::RequestId>,
    #[doc = "Milliseconds after which the caller may retry."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry: ::std::option::Option<u64>,
}
#[doc = "Stable code of the error."]
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
pub enum ErrorCode {
    #[serde(rename = "malformed")]
    Malformed,
    #[serde(rename = "too_large")]
    TooLarge,
    #[serde(rename = "header_too_large")]
    HeaderTooLarge,
    #[serde(rename = "unauthorized")]
    Unauthorized,
    #[serde(rename = "withdrawn")]
    Withdrawn,
    #[serde(rename = "forbidden")]
    Forbidden,
    #[serde(rename = "unknown_model")]
    UnknownModel,
    #[serde(rename = "unknown_route")]
    UnknownRoute,
    #[serde(rename = "over_rate")]
    OverRate,
    #[serde(rename = "quarantined")]
    Quarantined,
    #[serde(rename = "deadline")]
    Deadline,
    #[serde(rename = "capacity")]
    Capacity,
    #[serde(rename = "not_ready")]
    NotReady,
    #[serde(rename = "shutting_down")]
    ShuttingDown,
    #[serde(rename = "upstream_failed")]
    UpstreamFailed,
    #[serde(rename = "upstream_silent")]
    UpstreamSilent,
    #[serde(rename = "in_progress")]
    InProgress,
    #[serde(rename = "conflict")]
    Conflict,
    #[serde(rename = "store_unavailable")]
    StoreUnavailable,
    #[serde(rename = "timeout")]
    Timeout,
    #[serde(rename = "internal")]
    Internal,
}
impl ::std::fmt::Display for ErrorCode {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Malformed => f.write_str("malformed"),
            Self::TooLarge => f.write_str("too_large"),
            Self::HeaderTooLarge => f.write_str("header_too_large"),
            Self::Unauthorized => f.write_str("unauthorized"),
            Self::Withdrawn => f.write_str("withdrawn"),
            Self::Forbidden => f.write_str("forbidden"),
            Self::UnknownModel => f.write_str("unknown_model"),
            Self::UnknownRoute => f.write_str("unknown_route"),
            Self::OverRate => f.write_str("over_rate"),
            Self::Quarantined => f.write_str("quarantined"),
            Self::Deadline => f.write_str("deadline"),
            Self::Capacity => f.write_str("capacity"),
            Self::NotReady => f.write_str("not_ready"),
            Self::ShuttingDown => f.write_str("shutting_down"),
            Self::UpstreamFailed => f.write_str("upstream_failed"),
            Self::UpstreamSilent => f.write_str("upstream_silent"),
            Self::InProgress => f.write_str("in_progress"),
            Self::Conflict => f.write_str("conflict"),
            Self::StoreUnavailable => f.write_str("store_unavailable"),
            Self::Timeout => f.write_str("timeout"),
            Self::Internal => f.write_str("internal"),
        }
    }
}
impl ::std::str::FromStr for ErrorCode {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "malformed" => Ok(Self::Malformed),
            "too_large" => Ok(Self::TooLarge),
            "header_too_large" => Ok(Self::HeaderTooLarge),
            "unauthorized" => Ok(Self::Unauthorized),
            "withdrawn" => Ok(Self::Withdrawn),
            "forbidden" => Ok(Self::Forbidden),
            "unknown_model" => Ok(Self::UnknownModel),
            "unknown_route" => Ok(Self::UnknownRoute),
            "over_rate" => Ok(Self::OverRate),
            "quarantined" => Ok(Self::Quarantined),
            "deadline" => Ok(Self::Deadline),
            "capacity" => Ok(Self::Capacity),
            "not_ready" => Ok(Self::NotReady),
            "shutting_down" => Ok(Self::ShuttingDown),
            "upstream_failed" => Ok(Self::UpstreamFailed),
            "upstream_silent" => Ok(Self::UpstreamSilent),
            "in_progress" => Ok(Self::InProgress),
            "conflict" => Ok(Self::Conflict),
            "store_unavailable" => Ok(Self::StoreUnavailable),
            "timeout" => Ok(Self::Timeout),
            "internal" => Ok(Self::Internal),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ErrorCode {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ErrorCode {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Response to a request that was refused or failed."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ErrorResponse {
    pub error: ErrorBody,
}
#[doc = "Whether the request ran."]
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
pub enum Ran {
    #[serde(rename = "no")]
    No,
    #[serde(rename = "yes")]
    Yes,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for Ran {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::No => f.write_str("no"),
            Self::Yes => f.write_str("yes"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for Ran {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "no" => Ok(Self::No),
            "yes" => Ok(Self::Yes),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Ran {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Ran {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "`ResponsesThatTheGatewayItselfSendsToCallers`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct ResponsesThatTheGatewayItselfSendsToCallers(pub ::serde_json::Value);
impl ::std::ops::Deref for ResponsesThatTheGatewayItselfSendsToCallers {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<ResponsesThatTheGatewayItselfSendsToCallers> for ::serde_json::Value {
    fn from(value: ResponsesThatTheGatewayItselfSendsToCallers) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for ResponsesThatTheGatewayItselfSendsToCallers {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
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
