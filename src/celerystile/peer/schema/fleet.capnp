@0xd3a5b1c97e604f28;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("celerystile::peer::schema");

# Messages between balancers and sidecars of a fleet with a registry. Addresses are IPv4.

struct Address {
  ip @0 :UInt32;
  port @1 :UInt16;
}

struct FleetForward {
  purpose @0 :UInt8;
  position @1 :UInt8;
  service @2 :UInt64;
  balancer @3 :Address;
  candidates @4 :List(Address);
  packet @5 :Data;
  priority @6 :UInt32;
  ageMilliseconds @7 :UInt32;
  objectiveMilliseconds @8 :UInt32;
  timeoutMilliseconds @9 :UInt32;
  settled @10 :Bool;
  waitKnown @11 :Bool;
  waitPosition @12 :UInt8;
  waitMilliseconds @13 :UInt32;
  unanswered @14 :Bool;
  deferred @15 :Bool;
}

struct HostRecord {
  sidecar @0 :Address;
  service @1 :UInt64;
  failureDomain @2 :UInt64;
  born @3 :UInt64;
  epoch @4 :UInt64;
  slots @5 :UInt32;
  state @6 :UInt8;
  coldMilliseconds @7 :UInt32;
  openFlows @8 :UInt32;
  busyFlows @9 :UInt32;
  reportMilliseconds @10 :UInt32;
  restarting @11 :Bool;
  failurePermille @12 :UInt16;
  instance @13 :UInt32;
  configurationVersion @14 :UInt64;
  process @15 :UInt64;
  sequence @16 :UInt64;
  waitMilliseconds @17 :UInt16;
  answerMilliseconds @18 :UInt16;
}

struct FlowClaim {
  callerIp @0 :UInt32;
  serviceIp @1 :UInt32;
  callerPort @2 :UInt16;
  servicePort @3 :UInt16;
  hostSequence @4 :UInt32;
  proven @5 :Bool;
  callerAck @6 :UInt32;
  idleSeconds @7 :UInt16;
}

# Up to the ports laid out as FlowClaim, which earlier versions send.
struct SynDeclined {
  callerIp @0 :UInt32;
  serviceIp @1 :UInt32;
  callerPort @2 :UInt16;
  servicePort @3 :UInt16;
  unanswered @4 :Bool;
  deferred @5 :Bool;
}

struct FlowReport {
  host @0 :HostRecord;
  held @1 :List(FlowClaim);
  ended @2 :List(FlowClaim);
}

struct BalancerHello {
  balancer @0 :Address;
  process @1 :UInt64;
  hosts @2 :UInt32;
  wantsFlows @3 :Bool;
  intervalMilliseconds @4 :UInt32;
  configurationVersion @5 :UInt64;
  knownProcess @6 :UInt64;
  knownEpoch @7 :UInt64;
  coldOpeningsPerSecond @8 :UInt32;
}

struct HeldFlows {
  born @0 :UInt64;
  flows @1 :List(FlowClaim);
  complete @2 :Bool;
  instance @3 :UInt32;
  sequence @4 :UInt64;
  unattributed @5 :UInt32;
  writtenAt @6 :UInt64;
}

struct EvacuationState {
  revision @0 :UInt64;
  domains @1 :List(UInt64);
}

struct EvacuationNotice {
  sender @0 :Address;
  state @1 :EvacuationState;
}

struct FleetSnapshot {
  configuration @0 :Data;
  hosts @1 :List(HostRecord);
  evacuation @2 :EvacuationState;
}

struct FleetMessage {
  union {
    forward @0 :FleetForward;
    report @1 :FlowReport;
    balancerHello @2 :BalancerHello;
    sidecarHello @3 :Address;
    heldFlows @4 :HeldFlows;
    synDeclined @5 :SynDeclined;
    snapshot @6 :FleetSnapshot;
    evacuationNotice @7 :EvacuationNotice;
  }
}
