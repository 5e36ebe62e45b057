@0xb1c0f3a7d2e94c61;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("celerystile::peer::schema");

struct Endpoint {
  high @0 :UInt64;   # first half of the 128-bit address, big-endian
  low @1 :UInt64;
  port @2 :UInt16;
}

struct Candidate {
  host @0 :UInt64;
  traffic @1 :Endpoint;
  accepts @2 :Bool;
}

struct Forward {
  service @0 :UInt64;
  generation @1 :UInt64;
  viewVersion @2 :UInt64;
  hops @3 :UInt8;
  position @4 :UInt8;
  extended @5 :Bool;
  pointed @6 :Bool;
  selected @7 :Bool;
  denied @8 :Bool;            # of earlier versions: any restarted host denied the flow; not read
  transient @9 :Bool;
  hasBest @10 :Bool;
  bestPosition @11 :UInt8;
  bestLoad @12 :UInt32;
  candidates @13 :List(Candidate);
  packet @14 :Data;
  bestRecent @15 :UInt32;
  owner @16 :UInt64;
  ownerDenied @17 :Bool;
}

struct Publish {
  sequence @0 :UInt64;
  owner @1 :Candidate;
  flows @2 :List(UInt64);
}

struct PublishAck {
  from @0 :UInt64;
  sequence @1 :UInt64;
}

struct MemberNews {
  id @0 :UInt64;
  role @1 :UInt8;
  state @2 :UInt8;
  incarnation @3 :UInt64;
  control @4 :Endpoint;
  traffic @5 :Endpoint;
  failureDomain @6 :Text;
  place @7 :Text;
  services @8 :List(UInt64);
  capacity @9 :UInt32;
  process @10 :UInt64;
}

struct StateNews {            # only the state changed; for members that the receiver already has
  id @0 :UInt64;
  incarnation @1 :UInt64;
  state @2 :UInt8;
  suspected @3 :Bool;
  process @4 :UInt64;
}

struct Gossip {
  from @0 :UInt64;
  fromAddress @1 :Endpoint;
  generation @2 :UInt64;
  sequence @3 :UInt64;
  kind @4 :Kind;
  target @5 :UInt64;          # of an indirect probe
  targetAddress @6 :Endpoint;
  digest @7 :UInt64;
  members @8 :List(MemberNews);
  states @9 :List(StateNews);
  groupDigests @10 :List(UInt64);

  enum Kind {
    ping @0;
    ack @1;
    pingRequest @2;
    indirectAck @3;
    join @4;
    digests @5;
    news @6;
  }
}

struct Message {              # one UDP datagram between processes
  union {
    forward @0 :Forward;
    publish @1 :Publish;
    publishAck @2 :PublishAck;
    gossip @3 :Gossip;
  }
}

struct FlowEntry {
  callerHigh @0 :UInt64;
  callerLow @1 :UInt64;
  serviceHigh @2 :UInt64;
  serviceLow @3 :UInt64;
  ports @4 :UInt32;           # caller's port in the upper 16 bits, service's port in the lower
  callerIsn @5 :UInt32;
  hostIsn @6 :UInt32;
  callerNext @7 :UInt32;
  callerAck @8 :UInt32;
  lastSeen @9 :UInt32;        # age in seconds at the time of the hand-over
  flags @10 :UInt8;
}

struct Request {              # over TCP, one per connection
  union {
    fetchText @0 :Void;
    fetchMembers @1 :Void;
    takeOver @2 :UInt64;      # id of the host
  }
}

struct Response {
  union {
    text :group {
      generation @0 :UInt64;
      text @1 :Data;
    }
    members @2 :Gossip;
    handOver :group {
      flows @3 :List(FlowEntry);
      pointers @5 :List(Publish);
      complete @6 :Bool;
    }
    refused @4 :Text;
  }
}
