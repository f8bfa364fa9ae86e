# Messages between nodes.  Add fields at the end; never renumber.
@0xbf5147cbbecf40c1;

struct Envelope {
  # One frame.  An answer carries the id of the message that it answers.
  id @0 :UInt64;
  union {
    challenge @1 :Challenge;
    hello @2 :Hello;
    welcome @3 :Welcome;
    refusal @4 :Refusal;
    heartbeat @5 :Heartbeat;
    fetchConfig @6 :FetchConfig;
    configRecords @7 :ConfigRecords;
    forwardCall @8 :ForwardCall;
    forwardAnswer @9 :ForwardAnswer;
  }
}

struct Challenge {
  nonce @0 :Data;
}

struct Hello {
  protocolVersion @0 :UInt16;
  cluster @1 :Text;
  nodeId @2 :Text;
  nonce @3 :Data;
  proof @4 :Data;
}

struct Welcome {
  nodeId @0 :Text;
  proof @1 :Data;
}

struct Refusal {
  reason @0 :Text;
}

struct MemberDigest {
  nodeId @0 :Text;
  zone @1 :Text;
  host @2 :Text;
  peerPort @3 :UInt16;
  incarnation @4 :UInt64;
  state @5 :UInt8;
}

struct Heartbeat {
  revision @0 :Int64;
  leaving @1 :Bool;
  members @2 :List(MemberDigest);
}

struct FetchConfig {
  fromOffset @0 :Int64;
}

struct ConfigRecord {
  offset @0 :Int64;
  data @1 :Data;
}

struct ConfigRecords {
  records @0 :List(ConfigRecord);
  revision @1 :Int64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct ForwardCall {
  requestId @0 :Text;
  organisation @1 :Text;
  service @2 :Text;
  idempotencyKey @3 :Text;
  method @4 :Text;
  path @5 :Text;
  headers @6 :List(Header);
  body @7 :Data;
  timeoutMs @8 :UInt32;
  respondAsync @9 :Bool;
}

struct ForwardAnswer {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
}
