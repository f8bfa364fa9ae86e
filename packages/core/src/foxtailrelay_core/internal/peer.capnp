# Messages between nodes.  Add new fields at the end; never renumber fields.
@0xbf5147cbbecf40c1;

struct Envelope {
  # Content of one frame.  An answer has the id of the message it answers.
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
    exchange @10 :Exchange;
    placeCall @11 :PlaceCall;
    placeAnswer @12 :PlaceAnswer;
    # Not answered.
    placeNote @13 :PlaceNote;
    # Not answered.
    streamOrigin @14 :StreamOrigin;
    streamQuery @15 :StreamQuery;
    streamFound @16 :StreamFound;
    tunnelOpen @17 :TunnelOpen;
    tunnelAnswer @18 :TunnelAnswer;
    processQuery @19 :ProcessQuery;
    processFound @20 :ProcessFound;
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

struct Exchange {
  # Gossip between nodes that relay by route.
  cluster @0 :Text;
  wallMs @1 :UInt64;
  marks @2 :List(TopicMark);
  lease @3 :LeaseMark;
  reports @4 :List(ReportCopy);
  wants @5 :List(TopicWant);
  topics @6 :List(TopicRecords);
  # Reports that the sender has: hash of each node's start, and sequence.
  haveStarts @7 :List(UInt64);
  haveSequences @8 :List(UInt32);
}

struct TopicMark {
  # Each position is an offset in its field and an era in the field of the
  # same name with "Era", so that older releases read the offset.
  topic @0 :Text;
  end @1 :Int64;
  ageMs @2 :UInt32;
  version @3 :Int64;
  endEra @4 :UInt16;
}

struct LeaseMark {
  offset @0 :Int64;
  term @1 :Int64;
  holder @2 :Text;
  offsetEra @3 :UInt16;
  termEra @4 :UInt16;
}

struct ReportCopy {
  # A report is encoded once and forwarded without being decoded.
  nodeId @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  ageMs @3 :UInt32;
  body @4 :Data;
}

struct NodeReport {
  # Rows are stored as columns, which are cheap to encode and decode.
  zone @0 :Text;
  host @1 :Text;
  peerPort @2 :UInt16;
  isLeaving @3 :Bool;
  loadServers @4 :List(Text);
  loadNumbers @5 :List(UInt32);
  spendOrganisations @6 :List(Text);
  spendCounts @7 :List(UInt32);
  spendSlots @8 :List(UInt32);
  tryServices @9 :List(Text);
  tryNumbers @10 :List(UInt32);
  usageOrganisations @11 :List(Text);
  usageNumbers @12 :List(UInt64);
  centicores @13 :UInt16;
  departureServers @14 :List(Text);
  departureStarts @15 :List(UInt64);
  crashServers @16 :List(Text);
  crashStarts @17 :List(UInt64);
  crashServices @18 :List(Text);
  # Age in milliseconds and number of parts of each crash.
  crashNumbers @19 :List(UInt32);
  crashParts @20 :List(Text);
  quarantineServices @21 :List(Text);
  quarantineParts @22 :List(Text);
  # Crashes, age of the last one and remaining time in milliseconds.
  quarantineNumbers @23 :List(UInt32);
  answeredServices @24 :List(Text);
  answeredParts @25 :List(Text);
  answeredAges @26 :List(UInt32);
  limitServers @27 :List(Text);
  limitStarts @28 :List(UInt64);
  limitAges @29 :List(UInt32);
  # Requests per second; infinite where the server no longer names a limit.
  limitRates @30 :List(Float64);
  # For each of crashParts the milliseconds from sending the last request with
  # it to the end of the server; empty from older releases.
  crashRunning @31 :List(UInt32);
  isCutOff @32 :Bool;
  brittleServers @33 :List(Text);
  brittleStarts @34 :List(UInt64);
  brittleAges @35 :List(UInt32);
  # Rejections per second; infinite where the server no longer names a bound.
  brittleRates @36 :List(Float64);
  # For each crash the milliseconds by which it may have been earlier, since the
  # node stood still; empty from older releases.
  crashUnsure @37 :List(UInt32);
  # Service, version and route of each row; only while versions are changed.
  versionNames @38 :List(Text);
  # Requests, failures, and answers by the class of their time, of each row.
  versionNumbers @39 :List(UInt32);
  # Relative duration in percent, 0 if none is known, and its age in
  # milliseconds, of each load; empty if none has one.
  loadDurations @40 :List(UInt32);
}

struct TopicWant {
  topic @0 :Text;
  fromOffset @1 :Int64;
  fromOffsetEra @2 :UInt16;
}

struct TopicRecords {
  topic @0 :Text;
  end @1 :Int64;
  ageMs @2 :UInt32;
  isFull @3 :Bool;
  records @4 :List(TopicRecord);
  endEra @5 :UInt16;
}

struct TopicRecord {
  key @0 :Text;
  offset @1 :Int64;
  value @2 :Data;
  isDropped @3 :Bool;
  offsetEra @4 :UInt16;
}

struct PlaceCall {
  requestId @0 :Text;
  service @1 :Text;
  partIds @2 :List(Text);
  partTokens @3 :List(UInt32);
  answerTokens @4 :UInt32;
  targetMs @5 :Int32;
  leftMs @6 :UInt32;
  urgency @7 :UInt8;
  zone @8 :Text;
  isRepeat @9 :Bool;
  excluded @10 :List(Text);
  booking @11 :UInt64;
  promptTokens @12 :UInt32;
  fingerprint @13 :Text;
  nodeId @14 :Text;
  incarnation @15 :UInt64;
  organisation @16 :Text;
}

struct PlaceAnswer {
  # Without a server the request is refused, or the node could not decide.
  server @0 :Text;
  expectedUs @1 :UInt32;
  uncachedTokens @2 :UInt32;
  running @3 :UInt32;
  pendingTokens @4 :UInt32;
  speedPercent @5 :UInt16;
  why @6 :Text;
  retryAfterMs @7 :UInt32;
  isJudged @8 :Bool;
  isQuarantined @9 :Bool;
  isCounted @10 :Bool;
  quarantinedId @11 :Text;
  rule @12 :Text;
}

struct PlaceNote {
  booking @0 :UInt64;
  event @1 :UInt8;
  firstUs @2 :UInt32;
  isCrash @3 :Bool;
  isRejected @4 :Bool;
  crashAgeMs @5 :UInt32;
  # Percent of the usual duration of work on the server's machine; 0: none.
  relativePercent @6 :UInt16;
}

struct StreamOrigin {
  requestId @0 :Text;
  service @1 :Text;
  version @2 :Text;
  server @3 :Text;
  startedMs @4 :UInt64;
  fingerprint @5 :Text;
  isCertain @6 :Bool;
  keepMs @7 :UInt32;
  followingId @8 :UInt64;
}

struct StreamQuery {
  requestId @0 :Text;
  service @1 :Text;
  fingerprint @2 :Text;
  windowMs @3 :UInt32;
  host @4 :Text;
  path @5 :Text;
}

struct StreamFound {
  # At most one origin.
  origins @0 :List(StreamOrigin);
  soleVersion @1 :Text;
  listEnd @2 :Int64 = -1;
  configurationEnd @3 :Int64 = -1;
}

struct TunnelOpen {
  server @0 :Text;
  startedMs @1 :UInt64;
  isCheck @2 :Bool;
  readsCounts @3 :Bool;
}

struct TunnelAnswer {
  tunnelState @0 :UInt8;
  reason @1 :Text;
}

struct ProcessQuery {
  server @0 :Text;
  startedMs @1 :UInt64;
}

struct ProcessFound {
  # Milliseconds before this message.  Only earlier releases send and read
  # the fields whose names begin with "old".
  oldEndedAgesMs @0 :List(UInt32);
  oldCutAgesMs @1 :List(UInt32);
  oldBegunAgesMs @2 :List(UInt32);
  # The latest loss is last; earlier releases read that one only.
  lostAgesMs @3 :List(UInt32);
  oldSinceAgesMs @4 :List(UInt32);
}
