#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "A message for all VMs."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub enum Broadcast {
    #[serde(rename = "usage")]
    Usage(Usage),
    #[serde(rename = "notice")]
    Notice(InventoryNotice),
    #[serde(rename = "configuration")]
    Configuration(ConfigurationReport),
}
impl ::std::convert::From<Usage> for Broadcast {
    fn from(value: Usage) -> Self {
        Self::Usage(value)
    }
}
impl ::std::convert::From<InventoryNotice> for Broadcast {
    fn from(value: InventoryNotice) -> Self {
        Self::Notice(value)
    }
}
impl ::std::convert::From<ConfigurationReport> for Broadcast {
    fn from(value: ConfigurationReport) -> Self {
        Self::Configuration(value)
    }
}
#[doc = "A request whose response an engine broke off."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BrokenSend {
    #[doc = "Time since it was last sent to the engine, in milliseconds."]
    pub age_ms: u64,
    pub request: ::basilgw::ids::RequestDigest,
}
#[doc = "The configuration in force at the sender."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationReport {
    #[doc = "Whether the sender does not trust what it reads and asks for what others know."]
    pub asked: bool,
    #[doc = "Generation of the store in which the sender first read it."]
    pub generation: ::basilgw::ids::StoreGeneration,
    #[doc = "Newest generation whose configuration the sender trusts; absent where it trusts none yet."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub trusted: ::std::option::Option<::basilgw::ids::StoreGeneration>,
    #[doc = "Version that the operators gave it; 0 where none is in force."]
    pub version: u64,
}
#[doc = "A datagram between VMs, CBOR-encoded."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub enum Datagram {
    #[serde(rename = "usage")]
    Usage(Usage),
    #[serde(rename = "wants")]
    Wants(DemandReport),
    #[serde(rename = "notice")]
    Notice(InventoryNotice),
    #[serde(rename = "quarantine")]
    Quarantine(QuarantineReport),
    #[serde(rename = "follow")]
    Follow(FollowRequest),
    #[serde(rename = "followed")]
    Followed(FollowResponse),
    #[serde(rename = "limits")]
    Limits(LimitSummary),
    #[serde(rename = "permit_request")]
    PermitRequest(PermitRequest),
    #[serde(rename = "permit_response")]
    PermitResponse(PermitResponse),
    #[serde(rename = "forwarded")]
    Forwarded(Forwarded),
    #[serde(rename = "configuration")]
    Configuration(ConfigurationReport),
}
impl ::std::convert::From<Usage> for Datagram {
    fn from(value: Usage) -> Self {
        Self::Usage(value)
    }
}
impl ::std::convert::From<DemandReport> for Datagram {
    fn from(value: DemandReport) -> Self {
        Self::Wants(value)
    }
}
impl ::std::convert::From<InventoryNotice> for Datagram {
    fn from(value: InventoryNotice) -> Self {
        Self::Notice(value)
    }
}
impl ::std::convert::From<QuarantineReport> for Datagram {
    fn from(value: QuarantineReport) -> Self {
        Self::Quarantine(value)
    }
}
impl ::std::convert::From<FollowRequest> for Datagram {
    fn from(value: FollowRequest) -> Self {
        Self::Follow(value)
    }
}
impl ::std::convert::From<FollowResponse> for Datagram {
    fn from(value: FollowResponse) -> Self {
        Self::Followed(value)
    }
}
impl ::std::convert::From<LimitSummary> for Datagram {
    fn from(value: LimitSummary) -> Self {
        Self::Limits(value)
    }
}
impl ::std::convert::From<PermitRequest> for Datagram {
    fn from(value: PermitRequest) -> Self {
        Self::PermitRequest(value)
    }
}
impl ::std::convert::From<PermitResponse> for Datagram {
    fn from(value: PermitResponse) -> Self {
        Self::PermitResponse(value)
    }
}
impl ::std::convert::From<Forwarded> for Datagram {
    fn from(value: Forwarded) -> Self {
        Self::Forwarded(value)
    }
}
impl ::std::convert::From<ConfigurationReport> for Datagram {
    fn from(value: ConfigurationReport) -> Self {
        Self::Configuration(value)
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
#[doc = "Demand report, which each VM sends to the leader."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DemandReport {
    #[doc = "Number of the sender's running requests, by engine and model; present only in complete reports."]
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub runs: ::std::collections::BTreeMap<
        ::basilgw::ids::UpstreamId,
        ::std::collections::BTreeMap<::basilgw::ids::ModelId, u32>,
    >,
    pub vm: ::basilgw::ids::VmId,
    pub wants: ::std::collections::BTreeMap<::basilgw::ids::ModelId, ModelDemandEntry>,
}
#[doc = "An engine that broke off responses to requests of the sender."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineCrash {
    #[doc = "Time since the crash, in milliseconds."]
    pub age_ms: u64,
    #[doc = "Start time of the engine, in milliseconds since the Unix epoch."]
    pub born: u64,
    pub engine: ::basilgw::ids::UpstreamId,
    #[doc = "The requests."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub requests: ::std::vec::Vec<BrokenSend>,
    #[doc = "Shared parts of the prompts whose responses had not begun."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub unanswered: ::std::vec::Vec<::basilgw::ids::PartHash>,
    #[doc = "Shared parts of the prompts whose responses had no event yet."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub unwritten: ::std::vec::Vec<::basilgw::ids::PartHash>,
    #[doc = "Shared parts of the prompts whose responses had events."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub written: ::std::vec::Vec<::basilgw::ids::PartHash>,
}
#[doc = "Request of a follower to the VM that reads the store for it."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FollowRequest {
    #[doc = "Number of the request."]
    pub id: u64,
    #[doc = "Version of the registrations that the follower has."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub registrations: ::std::option::Option<::basilgw::ids::Version>,
}
#[doc = "What the sender knows of the store. Ages are those of its newest reads, counted from when it sent them."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FollowResponse {
    #[doc = "Absent where the sender reads no closures."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub closures: ::std::option::Option<KnownClosures>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub configuration: ::std::option::Option<KnownConfiguration>,
    #[doc = "Number of the request that this responds to."]
    pub id: u64,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub registrations: ::std::option::Option<KnownRegistrations>,
}
#[doc = "A broadcast that the receiver passes on to the VMs of its data centre, or that was passed on to it."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Forwarded {
    pub message: Broadcast,
    #[doc = "Address of the VM that the broadcast comes from; absent where the sender is that VM, and the receiver is to pass it on."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub origin: ::std::option::Option<::basilgw::gateway::broadcast::PeerAddress>,
}
#[doc = "A part of prompts, or a request, that the sender holds back, because it crashes engines."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HeldInput {
    #[doc = "Time since the last crash or probe, in milliseconds."]
    pub age_ms: u64,
    #[doc = "Time since the last request that it holds back, in milliseconds."]
    pub idle_ms: u64,
    #[doc = "Grows with each request that is sent to find out whether it still crashes engines; the time to the next one grows with it."]
    pub level: u32,
    pub suspect: ::basilgw::gateway::quarantine::suspect::Suspect,
}
#[doc = "Changes to the engines' inventories, sent by the leader to all VMs."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct InventoryNotice {
    pub epoch: ::basilgw::ids::Epoch,
    pub words: ::std::vec::Vec<InventoryUpdate>,
}
#[doc = "A model or adapter that an engine has loaded or is about to unload."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct InventoryUpdate {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::basilgw::ids::AdapterId>,
    #[doc = "Start time of the engine, in milliseconds since the Unix epoch."]
    pub born: u64,
    pub engine: ::basilgw::ids::UpstreamId,
    pub model: ::basilgw::ids::ModelId,
    #[doc = "True if it is loaded, false if it is about to be unloaded."]
    pub present: bool,
}
#[doc = "The closed data centres at the sender."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct KnownClosures {
    #[doc = "Age of the sender's newest read, in milliseconds."]
    pub age_ms: u64,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub centres: ::std::vec::Vec<::basilgw::ids::DataCentre>,
    #[doc = "Version of the store that they were read at."]
    pub version: ::basilgw::ids::Version,
}
#[doc = "The configuration in force at the sender."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct KnownConfiguration {
    #[doc = "Age of the sender's newest read, in milliseconds."]
    pub age_ms: u64,
    #[doc = "Version that the operators gave it."]
    pub version: u64,
}
#[doc = "The registrations at the sender."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct KnownRegistrations {
    #[doc = "Age of the sender's newest read, in milliseconds."]
    pub age_ms: u64,
    #[doc = "Absent where the sender does not know all changes since the version asked for."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub changes: ::std::option::Option<RegistrationChanges>,
}
#[doc = "Heartbeat of the leader: the sender holds the lease with this fencing number and version."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LeaderHeartbeat {
    pub epoch: ::basilgw::ids::Epoch,
    pub version: ::basilgw::ids::Version,
}
#[doc = "An upstream that stated in a response to the sender that it is leaving."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LeavingUpstream {
    #[doc = "Start time of the upstream, in milliseconds since the Unix epoch."]
    pub born: u64,
    pub upstream: ::basilgw::ids::UpstreamId,
}
#[doc = "The limits that the leader knows, sent to a VM that has just started."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LimitSummary {
    pub limits: ::std::vec::Vec<UpstreamLimit>,
}
#[doc = "Demand at the sender for a model and its adapters."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ModelDemandEntry {
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub adapters: ::std::collections::BTreeMap<::basilgw::ids::AdapterId, TargetDemand>,
    #[doc = "Demand for the model itself, without an adapter."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub whole: ::std::option::Option<TargetDemand>,
}
#[doc = "The leader's decision on one ask."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PermitAnswer {
    pub decision: PermitDecision,
    #[doc = "Number of the ask."]
    pub number: u64,
}
#[doc = "One request that waits to be sent to an upstream that names a limit."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PermitAsk {
    #[doc = "The limit as the sender knows it."]
    pub limit: UpstreamLimit,
    #[doc = "Longest time that the request can wait, in milliseconds."]
    pub max_wait_ms: u64,
    #[doc = "Number of the request at the sender; a repeated one is granted once."]
    pub number: u64,
}
#[doc = "`PermitDecision`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub enum PermitDecision {
    #[doc = "The request may be sent after this time, in milliseconds."]
    #[serde(rename = "granted")]
    Granted(u64),
    #[doc = "There is no room within the time that the request can wait; there may be after this one, in milliseconds."]
    #[serde(rename = "denied")]
    Denied(u64),
    #[doc = "The upstream names no limit any more."]
    #[serde(rename = "unlimited")]
    Unlimited,
}
#[doc = "Asks the leader for permits to send requests to upstreams that name a limit."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PermitRequest {
    pub asks: ::std::vec::Vec<PermitAsk>,
    pub generation: ::basilgw::ids::Generation,
    pub vm: ::basilgw::ids::VmId,
}
#[doc = "The leader's decisions; they count only while the sender is the newest leader known."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PermitResponse {
    pub answers: ::std::vec::Vec<PermitAnswer>,
    pub epoch: ::basilgw::ids::Epoch,
}
#[doc = "What the sender knows of parts of prompts, and of requests, that crash engines."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct QuarantineReport {
    #[doc = "Crashes of the last seconds that the sender noticed."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub crashes: ::std::vec::Vec<EngineCrash>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub held: ::std::vec::Vec<HeldInput>,
    #[doc = "Suspected parts and requests that were sound in the last seconds."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub sound: ::std::vec::Vec<SoundInput>,
    #[doc = "Engines that had not crashed after all."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub survivors: ::std::vec::Vec<SurvivingEngine>,
}
#[doc = "An upstream's registration that was written or removed."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RegistrationChange {
    #[doc = "Name of the registration's object."]
    pub name: ::basilgw::ids::Text,
    #[doc = "Absent where the registration was removed or cannot be decoded."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub registration: ::std::option::Option<::basilgw::gateway::upstream::Registration>,
}
#[doc = "Changes since the version asked for, oldest first; not all of them if there are many."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RegistrationChanges {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub changes: ::std::vec::Vec<RegistrationChange>,
    #[doc = "Whether the sender knows no later change."]
    pub complete: bool,
    #[doc = "Version of the registrations after these changes."]
    pub version: ::basilgw::ids::Version,
}
#[doc = "A suspected part of prompts, or request, that a response has shown to crash no engine."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SoundInput {
    #[doc = "Time since the last such response, in milliseconds."]
    pub age_ms: u64,
    pub suspect: ::basilgw::gateway::quarantine::suspect::Suspect,
}
#[doc = "An engine that broke off responses but answers further requests, so that it has not crashed."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SurvivingEngine {
    #[doc = "Start time of the engine, in milliseconds since the Unix epoch."]
    pub born: u64,
    pub engine: ::basilgw::ids::UpstreamId,
}
#[doc = "Demand at the sender for a model or for one adapter."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TargetDemand {
    #[doc = "Streams a second whose events came later than their route's objective."]
    #[serde(default = "defaults::target_demand_late")]
    pub late: f64,
    #[doc = "Requests per second."]
    pub rate: f64,
    #[doc = "Number of requests that wait for the model or adapter to be loaded."]
    #[serde(default)]
    pub waiting: u32,
}
#[doc = "What an upstream stated in a response about the requests that it takes from all VMs together."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UpstreamLimit {
    #[doc = "Time since the response arrived, in milliseconds."]
    pub age_ms: u64,
    #[doc = "Start time of the upstream, in milliseconds since the Unix epoch."]
    pub born: u64,
    #[doc = "Requests a second; absent where the upstream names no limit any more."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub rate: ::std::option::Option<::basilgw::units::RequestRate>,
    #[doc = "Time since the request was sent, in milliseconds."]
    pub sent_age_ms: u64,
    pub upstream: ::basilgw::ids::UpstreamId,
    #[doc = "Time for which the upstream still warms up at this rate, in milliseconds; absent where it named the limit in a response."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub warm_up_ms: ::std::option::Option<u64>,
}
#[doc = "Usage report, which each VM sends to all others several times a second or, among many VMs, about once a second."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    #[doc = "Tokens that the sender has admitted since its start, by account."]
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub accounts:
        ::std::collections::BTreeMap<::basilgw::ids::ClientAccount, ::basilgw::units::Tokens>,
    #[doc = "Time since the sender started, in milliseconds; absent in reports of earlier versions."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub age_ms: ::std::option::Option<u64>,
    pub generation: ::basilgw::ids::Generation,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub lease: ::std::option::Option<LeaderHeartbeat>,
    #[doc = "Upstreams that the sender lately learned to be leaving."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub leaving: ::std::vec::Vec<LeavingUpstream>,
    #[doc = "Limits of upstreams that the sender lately learned from their responses; the leader repeats all that it knows."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub limits: ::std::vec::Vec<UpstreamLimit>,
    #[doc = "Accounts of which the sender lately refused a request for their quota."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub over: ::std::vec::Vec<::basilgw::ids::ClientAccount>,
    #[doc = "Absent while the sender knows of no such part."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub quarantine: ::std::option::Option<QuarantineReport>,
    #[doc = "Present in the first reports after the sender's start; VMs that start later read it from the store."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub site: ::std::option::Option<VmSite>,
    #[doc = "Upstreams that the sender has found slow, with the time that work takes there in percent of the usual."]
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub slow: ::std::collections::BTreeMap<
        ::basilgw::ids::UpstreamId,
        ::basilgw::gateway::slowdown::Slowness,
    >,
    #[doc = "Number of the sender's running requests, by upstream."]
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub upstreams: ::std::collections::BTreeMap<::basilgw::ids::UpstreamId, u32>,
    pub vm: ::basilgw::ids::VmId,
}
#[doc = "Where a VM runs and how large it is."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct VmSite {
    pub capacity: ::basilgw::gateway::fanout::roles::Capacity,
    pub centre: ::basilgw::ids::DataCentre,
}
#[doc = " Generation of default values for serde."]
pub mod defaults {
    pub(super) fn target_demand_late() -> f64 {
        0.0_f64
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
